// Sockets of an EventClient's connections. Private to this library.
//
//   CurlSockets sockets(io, userTimeout);
//   sockets.SetOnReady([](curl_socket_t aSocket, int aSelect) { ... });
//   sockets.AttachEasy(easy);    // libcurl opens and closes sockets through it
//   sockets.AttachMulti(multi);  // and says what it waits for on each
//
// libcurl owns the sockets and decides what it waits for; Asio does the
// waiting, on a duplicate of each. Used on the loop's thread only.
//
// Invariant: nothing here closes or waits on a descriptor that is not its own.
// libcurl does not always say that it closes a socket: one that was still
// connecting goes without a word, and its number soon belongs to another
// socket. The duplicate's number does not, and a connection that has no socket
// of libcurl any more is dropped when the next one is opened.
//
// Cost: two descriptors for each connection.
#ifndef TANAGERSEAM_HTTP_CURL_SOCKETS_H_
#define TANAGERSEAM_HTTP_CURL_SOCKETS_H_

#include <curl/curl.h>

#include <functional>
#include <map>
#include <memory>

#include <restinio/asio_include.hpp>

#include "http/event_client.h"
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

  // The socket of one connection; CURL_SOCKET_BAD if there is none.
  curl_socket_t Find(const char* aPeerIp, int aPeerPort, int aLocalPort) const;
  // How the connection of aSocket, which Find gave, has been used so far.
  ConnectionUse UseOf(curl_socket_t aSocket) const;
  // The same, and counts a request that is about to be sent.
  ConnectionUse BeginRequest(curl_socket_t aSocket);

private:
  // What libcurl waits for on one socket, and what Asio waits for.
  struct Watch
  {
    explicit Watch(restinio::asio_ns::io_context& aIo)
      : socket(aIo)
    {
    }
    // A duplicate of libcurl's socket.
    restinio::asio_ns::ip::tcp::socket socket;
    // libcurl's socket.
    curl_socket_t handle = CURL_SOCKET_BAD;
    // What libcurl was asked to connect to.
    restinio::asio_ns::ip::tcp::endpoint peer;
    uint64_t number = 0;
    TimePoint openedAt{};
    int requests = 0;
    // 0 until it was asked for on a connected socket.
    int localPort = 0;
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
  // Opens libcurl's socket and its duplicate; null if that fails.
  WatchPtr OpenWatch();
  static void Drop(Watch& aWatch);
  // Drops the connections whose sockets libcurl has closed without a word.
  void DropAbandoned();
  static int LocalPortOf(Watch& aWatch);
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
  uint64_t opened = 0;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_CURL_SOCKETS_H_
