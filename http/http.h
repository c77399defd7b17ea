// HTTP/1.1 on both sides: a server over RESTinio and a client over libcurl.
//
// Server:
//
//   HttpServerSettings settings;
//   settings.address = "127.0.0.1";
//   settings.port = 8080;
//   HttpServer server(settings, [](const HttpRequest& aRequest,
//                                  std::shared_ptr<HttpReply> aReply) {
//     aReply->Send(200, { { "Content-Type", "text/plain" } }, "hello\n");
//   });
//   server.Start();
//
// The handler runs on the server's worker pool and may block.
//
// Client:
//
//   HttpClient client;
//   HttpCall call;
//   call.url = "http://127.0.0.1:8080/";
//   auto outcome = client.Perform(call);
//   if (auto* answer = std::get_if<HttpAnswer>(&outcome)) { ... }
#ifndef TANAGERSEAM_HTTP_HTTP_H_
#define TANAGERSEAM_HTTP_HTTP_H_

#include "http/http_client.h"
#include "http/http_server.h"

#endif // TANAGERSEAM_HTTP_HTTP_H_
