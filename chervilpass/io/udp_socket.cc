#include "chervilpass/io/udp_socket.h"

#include <array>
#include <boost/asio/ip/udp.hpp>

#include "chervilpass/io/address_wait.h"
#include "chervilpass/io/await.h"

namespace chervilpass::io {
namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

constexpr std::size_t kMaxDatagramSize = 64 * 1024;  // bytes

}  // namespace

struct UdpSocket::State {
  explicit State(Runtime* runtime) : socket(runtime->Context()) {}

  boost::system::error_code Bind(const Udp::endpoint& address) {
    boost::system::error_code error;
    this->socket.open(address.protocol(), error);
    if (!error) {
      this->socket.bind(address, error);
    }
    if (!error) {
      this->socket.non_blocking(true, error);
    }
    if (error) {
      boost::system::error_code ignored;
      this->socket.close(ignored);
    }
    return error;
  }

  Udp::socket socket;
  std::array<char, kMaxDatagramSize> buffer;
  std::uint64_t bytes_sent = 0;
  std::uint64_t datagrams_sent = 0;
};

UdpSocket::UdpSocket(std::unique_ptr<State> state) : state(std::move(state)) {}
UdpSocket::~UdpSocket() = default;

Result<std::unique_ptr<UdpSocket>, HttpError> UdpSocket::Create(
    Runtime* runtime,
    const Endpoint& listen) {
  auto state = std::make_unique<State>(runtime);
  const Udp::endpoint address(asio::ip::make_address(listen.ip), listen.port);
  const boost::system::error_code error =
      BindWhenFree(runtime, listen, [&] { return state->Bind(address); });
  if (error) {
    return HttpError{HttpErrorCode::kConnect,
                     listen.ToText() + ": " + error.message()};
  }
  return std::unique_ptr<UdpSocket>(new UdpSocket(std::move(state)));
}

void UdpSocket::Send(const Endpoint& to, std::string_view datagram) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(to.ip, error);
  if (error) {
    return;
  }
  this->state->socket.send_to(
      asio::const_buffer(datagram.data(), datagram.size()),
      Udp::endpoint(ip, to.port), 0, error);
  this->state->bytes_sent += datagram.size();
  ++this->state->datagrams_sent;
}

std::string UdpSocket::Receive(Endpoint* from) {
  Udp::endpoint sender;
  const Completion received = Await([&](auto handler) {
    this->state->socket.async_receive_from(asio::buffer(this->state->buffer),
                                           sender, std::move(handler));
  });
  if (received.error) {
    return "";
  }
  if (from != nullptr) {
    *from = {sender.address().to_string(), sender.port()};
  }
  return {this->state->buffer.data(), received.bytes};
}

std::uint64_t UdpSocket::BytesSent() const {
  return this->state->bytes_sent;
}

std::uint64_t UdpSocket::DatagramsSent() const {
  return this->state->datagrams_sent;
}

}  // namespace chervilpass::io
