// A client for tests that sees each byte of a connection, and a reader that
// takes the bytes apart as strictly as HTTP/1.1 allows.
//
//   RawClient client(port);
//   client.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
//   ... run the server's loop, call client.Read() ...
//   const ResponseBytes got = ReadResponses(client.received, { "GET" });
#ifndef TANAGERSEAM_HTTP_TESTING_RAW_CLIENT_H_
#define TANAGERSEAM_HTTP_TESTING_RAW_CLIENT_H_

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include <restinio/asio_include.hpp>

#include "http/http_message.h"

namespace tanagerseam::testing_support {

class RawClient
{
public:
  // A receive buffer of 0 bytes stands for the system's default.
  explicit RawClient(uint16_t aPort, int aReceiveBuffer = 0)
  {
    namespace net = restinio::asio_ns;
    const net::ip::tcp::endpoint server{ net::ip::make_address("127.0.0.1"),
                                         aPort };
    this->socket.open(server.protocol());
    if (aReceiveBuffer > 0) {
      this->socket.set_option(
        net::socket_base::receive_buffer_size(aReceiveBuffer));
    }
    this->socket.connect(server);
    this->socket.non_blocking(true);
  }

  void Send(const std::string& aBytes)
  {
    restinio::asio_ns::error_code ignored;
    restinio::asio_ns::write(
      this->socket, restinio::asio_ns::buffer(aBytes), ignored);
  }

  // Takes what has come.
  void Read()
  {
    std::array<char, 65536> piece{};
    while (!this->ended) {
      restinio::asio_ns::error_code error;
      const size_t got =
        this->socket.read_some(restinio::asio_ns::buffer(piece), error);
      if (error == restinio::asio_ns::error::would_block) {
        return;
      }
      this->received.append(piece.data(), got);
      this->ended = static_cast<bool>(error);
      this->reset = error && error != restinio::asio_ns::error::eof;
    }
  }

  void HalfClose()
  {
    restinio::asio_ns::error_code ignored;
    this->socket.shutdown(restinio::asio_ns::ip::tcp::socket::shutdown_send,
                          ignored);
  }

  void Close()
  {
    restinio::asio_ns::error_code ignored;
    this->socket.close(ignored);
    this->ended = true;
  }

  void Reset()
  {
    this->socket.set_option(restinio::asio_ns::socket_base::linger(true, 0));
    this->Close();
  }

  std::string received;
  // The server ended the connection, or this client left.
  bool ended = false;
  // The server's end came as a reset.
  bool reset = false;

private:
  restinio::asio_ns::io_context io{ 1 };
  restinio::asio_ns::ip::tcp::socket socket{ this->io };
};

struct ReadResponse
{
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

struct ResponseBytes
{
  // Whole responses, in order.
  std::vector<ReadResponse> whole;
  // The bytes end within a response.
  bool cut = false;
  // Why the bytes are no HTTP responses; empty if they are.
  std::string fault;
};

// Reads one response after the other.
class ResponseReader
{
public:
  // aMethods: of the requests, in order; the last one stands for all later.
  ResponseReader(const std::string& aBytes, std::vector<std::string> aMethods)
    : bytes(aBytes)
    , methods(std::move(aMethods))
  {
  }

  ResponseBytes Read()
  {
    while (this->place < this->bytes.size()) {
      ReadResponse response;
      const bool whole = this->ReadHead(response) && this->ReadBody(response);
      if (!this->result.fault.empty()) {
        this->result.fault += " at byte " + std::to_string(this->place);
        break;
      }
      if (!whole) {
        this->result.cut = true;
        break;
      }
      this->result.whole.push_back(std::move(response));
    }
    return std::move(this->result);
  }

private:
  bool Fail(const char* aFault)
  {
    this->result.fault = aFault;
    return false;
  }

  // The next line without its end; false if it isn't whole.
  bool Line(std::string& aLine)
  {
    const size_t end = this->bytes.find("\r\n", this->place);
    if (end == std::string::npos) {
      return false;
    }
    aLine = this->bytes.substr(this->place, end - this->place);
    this->place = end + 2;
    return true;
  }

  bool ReadHead(ReadResponse& aResponse)
  {
    static const std::string kStart = "HTTP/1.1 ";
    const std::string start = this->bytes.substr(this->place, kStart.size());
    if (start != kStart.substr(0, start.size())) {
      return this->Fail("no status line");
    }
    std::string line;
    if (!this->Line(line)) {
      return false;
    }
    aResponse.status = std::atoi(line.c_str() + kStart.size());
    if (aResponse.status < 200 || aResponse.status > 599) {
      return this->Fail("no status of a final response");
    }
    while (this->Line(line)) {
      if (line.empty()) {
        return true;
      }
      const size_t colon = line.find(':');
      const bool sound = colon != std::string::npos && colon > 0 &&
                         line.find_first_of("\r\n") == std::string::npos;
      if (!sound) {
        return this->Fail("no header");
      }
      const size_t value = line.find_first_not_of(' ', colon + 1);
      aResponse.headers.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
    }
    return false;
  }

  bool HasBody(const ReadResponse& aResponse) const
  {
    const size_t index =
      std::min(this->result.whole.size(), this->methods.size() - 1);
    return this->methods[index] != "HEAD" && aResponse.status != 204 &&
           aResponse.status != 304;
  }

  bool ReadBody(ReadResponse& aResponse)
  {
    const auto lengths = HeaderValues(aResponse.headers, "Content-Length");
    const auto codings = HeaderValues(aResponse.headers, "Transfer-Encoding");
    if (lengths.size() + codings.size() > 1) {
      return this->Fail("more than one length");
    }
    if (!this->HasBody(aResponse)) {
      return true;
    }
    if (lengths.size() + codings.size() == 0) {
      return this->Fail("a body without length");
    }
    if (!codings.empty()) {
      return codings[0] == "chunked" ? this->ReadChunks(aResponse)
                                     : this->Fail("unknown coding");
    }
    return this->Take(std::strtoul(lengths[0].c_str(), nullptr, 10),
                      aResponse.body);
  }

  bool Take(size_t aBytes, std::string& aOut)
  {
    if (this->bytes.size() - this->place < aBytes) {
      return false;
    }
    aOut.append(this->bytes, this->place, aBytes);
    this->place += aBytes;
    return true;
  }

  bool ReadChunks(ReadResponse& aResponse)
  {
    std::string line;
    while (this->Line(line)) {
      const bool hex =
        !line.empty() &&
        std::all_of(line.begin(), line.end(), [](unsigned char aByte) {
          return std::isxdigit(aByte) != 0;
        });
      if (!hex) {
        return this->Fail("no chunk size");
      }
      const size_t size = std::strtoul(line.c_str(), nullptr, 16);
      std::string end;
      if (!this->Take(size, aResponse.body) || !this->Take(2, end)) {
        return false;
      }
      if (end != "\r\n") {
        return this->Fail("no end of a chunk");
      }
      if (size == 0) {
        return true;
      }
    }
    return false;
  }

  const std::string& bytes;
  const std::vector<std::string> methods;
  size_t place = 0;
  ResponseBytes result;
};

inline ResponseBytes
ReadResponses(const std::string& aBytes,
              std::vector<std::string> aMethods = { "GET" })
{
  return ResponseReader(aBytes, std::move(aMethods)).Read();
}

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_HTTP_TESTING_RAW_CLIENT_H_
