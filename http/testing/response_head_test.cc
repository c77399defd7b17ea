// Heads of responses: which lines are part of one, and which end it.
#include <gtest/gtest.h>

#include "http/response_head.h"

namespace tanagerseam {
namespace {

// The verdict on the last of aLines.
HeadLine
LastVerdict(ResponseHead& aHead, const std::vector<std::string>& aLines)
{
  HeadLine verdict = HeadLine::kMore;
  for (const std::string& line : aLines) {
    verdict = aHead.Take(line);
  }
  return verdict;
}

TEST(ResponseHeadTest, IsReadToItsEmptyLine)
{
  ResponseHead head;
  EXPECT_EQ(
    LastVerdict(head, { "HTTP/1.1 200 OK\r\n", "A: \tb c \r\n", "D:\n" }),
    HeadLine::kMore);
  EXPECT_EQ(head.Take("\r\n"), HeadLine::kEnd);
  EXPECT_EQ(head.Status(), 200);
  const HttpHeaders expected = { { "A", "b c" }, { "D", "" } };
  EXPECT_EQ(head.Headers(), expected);
}

TEST(ResponseHeadTest, AnInterimHeadLeavesNoHeaders)
{
  ResponseHead head;
  EXPECT_EQ(LastVerdict(head, { "HTTP/1.1 103 Hints\r\n", "A: b\r\n", "\r\n" }),
            HeadLine::kInterimEnd);
  EXPECT_EQ(LastVerdict(head, { "HTTP/1.0 404\r\n", "\r\n" }), HeadLine::kEnd);
  EXPECT_EQ(head.Status(), 404);
  EXPECT_TRUE(head.Headers().empty());
}

// Guards against lines that libcurl reads in another way than a reader of the
// headers, which hid the length of a body.
TEST(ResponseHeadTest, AMalformedLineEndsIt)
{
  for (const std::string line : { "Content-Length : 3\r\n",
                                  " 3\r\n",
                                  "\tchunked\r\n",
                                  "no header\r\n",
                                  ": empty name\r\n",
                                  "A: b\rContent-Length: 3\r\n",
                                  "HTTP/1.1 200 OK\r\n" }) {
    ResponseHead head;
    EXPECT_EQ(LastVerdict(head, { "HTTP/1.1 200 OK\r\n", line }),
              HeadLine::kMalformed)
      << line;
  }
}

TEST(ResponseHeadTest, BeginsWithAStatusLineOfHttp1)
{
  for (const std::string line : { "HTTP/1.1 20\r\n",
                                  "HTTP/1.1 2000 OK\r\n",
                                  "HTTP/1.1  200 OK\r\n",
                                  "HTTP/2 200\r\n",
                                  "HTTP/1.x 200 OK\r\n",
                                  "ICY 200 OK\r\n",
                                  "\r\n" }) {
    ResponseHead head;
    EXPECT_EQ(head.Take(line), HeadLine::kMalformed) << line;
  }
}

} // namespace
} // namespace tanagerseam
