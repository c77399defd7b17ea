#include "peer/frame_socket.h"

#include <stdexcept>

namespace tanagerseam {

namespace {

constexpr size_t kMaxUnsentBytes = 64u << 20;
constexpr size_t kLengthBytes = 4;

std::string
EncodeFrame(const wire::FrameT& aFrame)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Frame::Pack(builder, &aFrame));
  const uint32_t size = builder.GetSize();
  std::string bytes;
  bytes.reserve(kLengthBytes + size);
  for (size_t i = 0; i < kLengthBytes; ++i) {
    bytes.push_back(static_cast<char>((size >> (8 * i)) & 0xff));
  }
  bytes.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
  return bytes;
}

} // namespace

asio::ip::tcp::endpoint
ParseEndpoint(const std::string& aAddress)
{
  const size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("address without port: " + aAddress);
  }
  const auto ip = asio::ip::make_address(aAddress.substr(0, colon));
  const int port = std::stoi(aAddress.substr(colon + 1));
  return { ip, static_cast<uint16_t>(port) };
}

FrameSocket::FrameSocket(asio::ip::tcp::socket aSocket)
  : socket(std::move(aSocket))
{
}

void
FrameSocket::Start(OnFrame aOnFrame, OnClosed aOnClosed)
{
  this->onFrame = std::move(aOnFrame);
  this->onClosed = std::move(aOnClosed);
  this->started = true;
  std::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->ReadLength();
  if (!this->unsent.empty() && !this->writing) {
    this->WriteNext();
  }
}

void
FrameSocket::Send(const wire::FrameT& aFrame)
{
  auto bytes = std::make_shared<std::string>(EncodeFrame(aFrame));
  auto self = this->shared_from_this();
  asio::post(this->socket.get_executor(), [self, bytes] {
    if (self->closed) {
      return;
    }
    self->unsentBytes += bytes->size();
    self->unsent.push_back(std::move(*bytes));
    if (self->unsentBytes > kMaxUnsentBytes) {
      self->Close("the peer does not read");
      return;
    }
    if (self->started && !self->writing) {
      self->WriteNext();
    }
  });
}

void
FrameSocket::Close(const std::string& aWhy)
{
  if (this->closed) {
    return;
  }
  this->closed = true;
  std::error_code ignored;
  this->socket.close(ignored);
  OnClosed tell = std::move(this->onClosed);
  this->onFrame = nullptr;
  this->onClosed = nullptr;
  if (tell) {
    tell(aWhy);
  }
}

void
FrameSocket::ReadLength()
{
  auto self = this->shared_from_this();
  asio::async_read(this->socket,
                   asio::buffer(this->lengthBytes),
                   [self](std::error_code aError, size_t) {
                     if (aError) {
                       self->Close(aError.message());
                       return;
                     }
                     uint32_t size = 0;
                     for (size_t i = 0; i < kLengthBytes; ++i) {
                       size |= uint32_t(self->lengthBytes[i]) << (8 * i);
                     }
                     if (size == 0 || size > kMaxFrameBytes) {
                       self->Close("frame of a forbidden size");
                       return;
                     }
                     self->ReadBody(size);
                   });
}

void
FrameSocket::ReadBody(uint32_t aBytes)
{
  this->body.resize(aBytes);
  auto self = this->shared_from_this();
  asio::async_read(this->socket,
                   asio::buffer(this->body),
                   [self](std::error_code aError, size_t) {
                     if (aError) {
                       self->Close(aError.message());
                       return;
                     }
                     flatbuffers::Verifier verifier(self->body.data(),
                                                    self->body.size());
                     if (!wire::VerifyFrameBuffer(verifier)) {
                       self->Close("frame that fails verification");
                       return;
                     }
                     wire::FrameT frame;
                     wire::GetFrame(self->body.data())->UnPackTo(&frame);
                     if (self->onFrame) {
                       self->onFrame(std::move(frame));
                     }
                     if (!self->closed) {
                       self->ReadLength();
                     }
                   });
}

void
FrameSocket::WriteNext()
{
  if (this->unsent.empty() || this->closed) {
    this->writing = false;
    return;
  }
  this->writing = true;
  auto self = this->shared_from_this();
  asio::async_write(this->socket,
                    asio::buffer(this->unsent.front()),
                    [self](std::error_code aError, size_t) {
                      if (aError) {
                        self->Close(aError.message());
                        return;
                      }
                      self->unsentBytes -= self->unsent.front().size();
                      self->unsent.pop_front();
                      self->WriteNext();
                    });
}

} // namespace tanagerseam
