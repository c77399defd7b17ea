// Bodies that end with their connection: text passes, and another response does
// not, wherever the pieces of the body are cut.
#include <gtest/gtest.h>

#include "http/unframed_body.h"

namespace tanagerseam {
namespace {

const std::string kText = "a report\r\nin two lines";
const std::string kHead = "HTTP/1.1 200 OK\r\n"
                          "Content-Type: text/plain\r\n"
                          "X-Request-Id: r-1\r\n\r\n";

UnframedBody
MakeBody()
{
  return UnframedBody({ "X-Request-Id", "X-Digest" });
}

// Guards against two responses that were taken for one body: the second was
// seen only if its head came in one piece.
TEST(UnframedBodyTest, AnotherResponseIsFoundHoweverItsPiecesAreCut)
{
  const std::string whole = kText + kHead + kText;
  for (size_t cut = 0; cut < whole.size(); ++cut) {
    UnframedBody body = MakeBody();
    const bool first = body.Take(whole.substr(0, cut));
    EXPECT_FALSE(first && body.Take(whole.substr(cut))) << cut;
  }
  {
    SCOPED_TRACE("byte by byte");
    UnframedBody body = MakeBody();
    bool found = false;
    for (const char byte : whole) {
      found = found || !body.Take(std::string_view(&byte, 1));
    }
    EXPECT_TRUE(found);
  }
}

TEST(UnframedBodyTest, AnyOfTheHeadersMarksAResponse)
{
  for (const std::string name : { "x-request-id", "X-Digest" }) {
    UnframedBody body = MakeBody();
    EXPECT_FALSE(body.Take("HTTP/1.0 503 Full\r\n" + name + ": 1\r\n")) << name;
  }
}

// Guards against a second response that is cut within its head: its beginning
// passed for the end of the text.
TEST(UnframedBodyTest, ACutHeadIsSeenAtTheEnd)
{
  for (const std::string cut :
       { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-Requ" }) {
    UnframedBody body = MakeBody();
    EXPECT_TRUE(body.Take(kText + cut));
    EXPECT_TRUE(body.EndsWithinHead()) << cut;
  }
}

// Guards against text about HTTP that is refused.
TEST(UnframedBodyTest, TextPasses)
{
  for (const std::string& text :
       { kText,
         std::string("X-Request-Id: r-1\r\n\r\n"),
         std::string("the server said HTTP/1.1 200 OK"),
         std::string("HTTP/1.1 is a version\nX-Request-Id: a header\n"),
         std::string("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\ntext\n"
                     "X-Request-Id: in the text\n"),
         std::string(100000, 'H') }) {
    UnframedBody body = MakeBody();
    EXPECT_TRUE(body.Take(text)) << text.substr(0, 40);
    EXPECT_FALSE(body.EndsWithinHead()) << text.substr(0, 40);
  }
}

} // namespace
} // namespace tanagerseam
