// A backend server whose responses are written byte by byte, for tests of what
// a router makes of invalid ones.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

// Last: its macros clash with headers of Boost.
#include "unit_tests/router_fixture.h"

namespace chervilpass::serving {

// A request as a RawServer receives it.
struct RawRequest {
  std::string id;
  std::string head;
  int number = 0;         ///< of the request at the server, from 1
  int on_connection = 0;  ///< number of the request on its connection, from 1
};

// The bytes that a RawServer writes, and whether it closes the connection then.
struct RawAnswer {
  std::string bytes;
  bool closes = false;
};

// A server on threads of its own whose responses are written byte by byte as a
// script says, so that they need not be valid.
class RawServer {
  using Tcp = boost::asio::ip::tcp;

 public:
  using Script = std::function<RawAnswer(const RawRequest&)>;

  RawServer(std::uint16_t port, Script script)
      : script(std::move(script)),
        acceptor(this->context,
                 Tcp::endpoint(boost::asio::ip::make_address(kIp), port)),
        accepting([this] { this->Accept(); }) {}

  ~RawServer() {
    this->stopping = true;
    boost::system::error_code ignored;
    Tcp::socket wake(this->context);
    wake.connect(this->acceptor.local_endpoint(), ignored);
    this->accepting.join();
    for (const auto& socket : this->sockets) {
      socket->shutdown(Tcp::socket::shutdown_both, ignored);
    }
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }

  int Requests() const { return this->requests; }

 private:
  void Accept() {
    while (true) {
      auto socket = std::make_shared<Tcp::socket>(this->context);
      boost::system::error_code error;
      this->acceptor.accept(*socket, error);
      if (this->stopping || error) {
        return;
      }
      this->sockets.push_back(socket);
      this->threads.emplace_back([this, socket] { this->Serve(*socket); });
    }
  }

  void Serve(Tcp::socket& socket) {
    std::string received;
    boost::system::error_code error;
    for (int on_connection = 1;; ++on_connection) {
      const std::size_t head_end = boost::asio::read_until(
          socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
      if (error) {
        return;
      }
      RawRequest request;
      request.head = received.substr(0, head_end);
      received.erase(0, head_end);
      constexpr std::string_view kId = "Chervilpass-Request-Id: ";
      const std::size_t at = request.head.find(kId);
      if (at != std::string::npos) {
        request.id = request.head.substr(
            at + kId.size(), request.head.find("\r\n", at) - at - kId.size());
      }
      request.on_connection = on_connection;
      RawAnswer answer;
      {
        const std::lock_guard lock(this->mutex);
        request.number = ++this->requests;
        answer = this->script(request);
      }
      boost::asio::write(socket, boost::asio::buffer(answer.bytes), error);
      if (answer.closes) {
        socket.shutdown(Tcp::socket::shutdown_both, error);
        return;
      }
    }
  }

  Script script;
  boost::asio::io_context context;
  Tcp::acceptor acceptor;
  std::mutex mutex;  // guards calls of `script`
  std::atomic<int> requests = 0;
  std::atomic<bool> stopping = false;
  // Used by the accepting thread until it has ended.
  std::vector<std::shared_ptr<Tcp::socket>> sockets;
  std::vector<std::thread> threads;
  std::thread accepting;
};

// Registers a RawServer with the router.
inline std::unique_ptr<RawServer> AddRawServer(RouterFixture* fixture,
                                               int number,
                                               const std::string& service,
                                               placement::LayerRange layers,
                                               RawServer::Script script) {
  fixture->RegisterServer(number, service, layers);
  return std::make_unique<RawServer>(
      static_cast<std::uint16_t>(fixture->base_port + number),
      std::move(script));
}

}  // namespace chervilpass::serving
