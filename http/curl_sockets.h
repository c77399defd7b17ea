// Sockets of an EventClient's connections. Private to this library.
//
//   CurlSockets sockets(io, userTimeout);
//   sockets.SetOnReady([](curl_socket_t aSocket, int aSelect) { ... });
//   sockets.AttachEasy(easy);    // libcurl opens and closes sockets through it
//   sockets.AttachMulti(multi);  // and says what it waits for on each
//
// libcurl owns the connections and decides what it waits for; Asio does the
// waiting. Used on the loop's thread only.
#ifndef TANAGERSEAM_HTTP_CURL_SOCKETS_H_
#define TANAGERSEAM_HTTP_CURL_SOCKETS_H_

#include <curl/curl.h>

#include <functional>
#include <map>
#include <memory>

#include <restinio/asio_include.hpp>

#include "kernel/kernel.h"

namespace tanagerseam {

class CurlSockets
{
public:
  // Called when a socket is ready for what libcurl waits for: CURL_CSELECT_*.
  using OnReady = std::function<void(curl_socket_t, int)>;

  // aUserTimeout: unacknowledged data older than this breaks a connection.
  CurlSockets(restinio::asio_ns::io_context& aIo, Millis aUserTimeout);
  CurlSockets(const CurlSockets&) = delete;
  CurlSockets& operator=(const CurlSockets&) = delete;

  void SetOnReady(OnReady aOnReady) { this->onReady = std::move(aOnReady); }
  void AttachMulti(CURLM* aMulti);
  void AttachEasy(CURL* aEasy);

private:
  // What libcurl waits for on one socket, and what Asio waits for.
  struct Watch
  {
    explicit Watch(restinio::asio_ns::io_context& aIo)
      : socket(aIo)
    {
    }
    restinio::asio_ns::ip::tcp::socket socket;
    int wanted = CURL_POLL_NONE;
    bool waitsRead = false;
    bool waitsWrite = false;
    bool closed = false;
  };
  using WatchPtr = std::shared_ptr<Watch>;

  static curl_socket_t OnOpen(void* aSelf,
                              curlsocktype aPurpose,
                              curl_sockaddr* aAddress);
  static int OnClose(void* aSelf, curl_socket_t aSocket);
  static int OnWanted(CURL*,
                      curl_socket_t aSocket,
                      int aWhat,
                      void* aSelf,
                      void*);
  void SetOptions(int aSocket) const;
  void Wait(const WatchPtr& aWatch);
  void Ready(const WatchPtr& aWatch,
             const restinio::asio_ns::error_code& aError,
             int aPoll,
             int aSelect);

  restinio::asio_ns::io_context& io;
  const Millis userTimeout;
  OnReady onReady;
  std::map<curl_socket_t, WatchPtr> watches;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_CURL_SOCKETS_H_
