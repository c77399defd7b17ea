#include <gtest/gtest.h>

#include "endpoint/endpoint.h"
#include "endpoint/testing/scripted_endpoint.h"

namespace tanagerseam {
namespace {

class PlainDriverTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    this->call.method = "PUT";
    this->call.path = "/orders?dry=1";
    this->call.body = "payload";
    this->call.contentType = "text/plain";
    this->call.requestId = "request-1";
    this->call.idempotencyKey = "key-1";
    this->call.repeatable = false;
    this->call.timeout = Millis(2000);
  }

  EndpointOutcome Run(const std::string& aAddress)
  {
    this->call.address = aAddress;
    return Registry<EndpointDriver>::Instance().Make("plain")->Run(this->client,
                                                                   this->call);
  }

  HttpClient client;
  EndpointCall call;
};

TEST_F(PlainDriverTest, PassesRequestAndResponseThrough)
{
  ScriptedEndpoint endpoint({ [](const HttpRequest&, HttpReply& aReply) {
    aReply.Send(201, { { "Content-Type", "text/csv" } }, "a,b");
  } });
  const EndpointOutcome outcome = this->Run(endpoint.Address());
  EXPECT_EQ(outcome.status, EndpointStatus::kOk);
  EXPECT_EQ(outcome.httpStatus, 201);
  EXPECT_EQ(outcome.contentType, "text/csv");
  EXPECT_EQ(outcome.body, "a,b");

  const auto requests = endpoint.Requests();
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0].method, "PUT");
  EXPECT_EQ(requests[0].path, "/orders");
  EXPECT_EQ(requests[0].query, "dry=1");
  EXPECT_EQ(requests[0].body, "payload");
  EXPECT_EQ(FirstHeader(requests[0].headers, "Content-Type"), "text/plain");
  EXPECT_EQ(FirstHeader(requests[0].headers, "Idempotency-Key"), "key-1");
  const std::vector<std::string> allowed = {
    "Host",         "Accept",       "Content-Length",
    "Content-Type", "X-Request-Id", "Idempotency-Key"
  };
  EXPECT_EQ(UnexpectedHeaders(requests[0], allowed),
            std::vector<std::string>{});
}

TEST_F(PlainDriverTest, ReturnsErrorStatusAsResponse)
{
  ScriptedEndpoint endpoint({ [](const HttpRequest&, HttpReply& aReply) {
    aReply.Send(503, {}, "sorry");
  } });
  const EndpointOutcome outcome = this->Run(endpoint.Address());
  EXPECT_EQ(outcome.status, EndpointStatus::kOk);
  EXPECT_EQ(outcome.httpStatus, 503);
  EXPECT_EQ(outcome.body, "sorry");
  EXPECT_EQ(endpoint.Requests().size(), 1u);
}

TEST_F(PlainDriverTest, ReportsNotExecutedOnlyIfNotSent)
{
  {
    SCOPED_TRACE("connection refused");
    const std::string address =
      "127.0.0.1:" + std::to_string(testing_support::FreePort());
    EXPECT_EQ(this->Run(address).status, EndpointStatus::kNotExecuted);
  }
  {
    SCOPED_TRACE("the connection closes after the call was sent");
    DisconnectingEndpoint endpoint("");
    EXPECT_EQ(this->Run(endpoint.Address()).status, EndpointStatus::kUnknown);
    EXPECT_EQ(endpoint.Accepted(), 1);
  }
  {
    SCOPED_TRACE("the response is truncated");
    DisconnectingEndpoint endpoint(
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab");
    EXPECT_EQ(this->Run(endpoint.Address()).status, EndpointStatus::kUnknown);
    EXPECT_EQ(endpoint.Accepted(), 1);
  }
  {
    SCOPED_TRACE("no response within the timeout");
    this->call.timeout = Millis(200);
    ScriptedEndpoint endpoint({ [](const HttpRequest&, HttpReply& aReply) {
      std::this_thread::sleep_for(Millis(800));
      aReply.Send(200, {}, "late");
    } });
    EXPECT_EQ(this->Run(endpoint.Address()).status, EndpointStatus::kUnknown);
    EXPECT_EQ(endpoint.Requests().size(), 1u);
  }
}

TEST_F(PlainDriverTest, SendsNonRepeatableCallOnceDespiteStaleConnection)
{
  // Each connection stays open after its first response and closes at its
  // second request, which the service has then already read.
  DisconnectingEndpoint endpoint(
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    AfterResponse::kCloseOnNextRequest);
  for (int i = 1; i <= 5; ++i) {
    const EndpointOutcome outcome = this->Run(endpoint.Address());
    EXPECT_EQ(outcome.status, EndpointStatus::kOk) << outcome.detail;
    EXPECT_EQ(endpoint.Received(), i);
  }
}

TEST_F(PlainDriverTest, RejectsHeaderInjection)
{
  ScriptedEndpoint endpoint({ [](const HttpRequest&, HttpReply& aReply) {
    aReply.Send(200, {}, "");
  } });
  std::vector<std::string*> fields = {
    &this->call.contentType,    &this->call.requestId, &this->call.program,
    &this->call.idempotencyKey, &this->call.path,      &this->call.method
  };
  for (std::string* field : fields) {
    const std::string kept = *field;
    *field = kept + "\r\nAuthorization: Bearer secret";
    EXPECT_EQ(this->Run(endpoint.Address()).status,
              EndpointStatus::kNotExecuted);
    *field = kept;
  }
  this->call.path = "@127.0.0.1:1/";
  EXPECT_EQ(this->Run(endpoint.Address()).status, EndpointStatus::kNotExecuted);
  EXPECT_TRUE(endpoint.Requests().empty());
}

} // namespace
} // namespace tanagerseam
