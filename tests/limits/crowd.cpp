#include "crowd.h"
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace limits {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

/// Bytes that a client hands to the kernel at once, so that all clients advance
/// together.
constexpr std::size_t WriteSize = 16384;

/// Without progress for this long, the server reads no more. It only ends the
/// sending and decides no check.
constexpr std::chrono::seconds StallLimit(1);

} // namespace

struct Crowd::Client {
  Client(Crowd &Parent, const ClientPlan &ToSend)
      : Owner_(Parent), Plan_(ToSend), Socket_(Parent.Context_) {
    while (!Plan_.Repeated_.empty() && Repeated_.size() < WriteSize)
      Repeated_ += Plan_.Repeated_;
  }

  void connect(const Tcp::endpoint &Server) {
    Socket_.async_connect(Server, [this](const Error &Failure) {
      if (Failure)
        return Owner_.onEnd(true);
      Owner_.onProgress(0);
      send();
    });
  }

  void send() {
    if (Sent_ >= Plan_.Size_)
      return Owner_.onEnd(false);
    const std::string &Source =
        Sent_ < Plan_.Head_.size() ? Plan_.Head_ : Repeated_;
    const std::size_t From =
        Sent_ < Plan_.Head_.size()
            ? Sent_
            : (Sent_ - Plan_.Head_.size()) % Repeated_.size();
    const std::size_t Size =
        std::min(Source.size() - From, Plan_.Size_ - Sent_);
    Socket_.async_write_some(asio::buffer(Source.data() + From, Size),
                             [this](const Error &Failure, std::size_t Written) {
                               if (Failure)
                                 return Owner_.onEnd(true);
                               Sent_ += Written;
                               Owner_.onProgress(Written);
                               send();
                             });
  }

  Crowd &Owner_;
  ClientPlan Plan_;
  Tcp::socket Socket_;
  std::string Repeated_;
  std::size_t Sent_ = 0;
};

Crowd::Crowd(const nutmegwell::net::Address &Server, std::size_t Count,
             const ClientPlan &Plan) {
  const Tcp::endpoint Endpoint(asio::ip::make_address_v4(Server.Ip_),
                               Server.Port_);
  for (std::size_t I = 0; I < Count; ++I) {
    Clients_.push_back(std::make_unique<Client>(*this, Plan));
    ++Active_;
    Clients_.back()->connect(Endpoint);
  }
}

Crowd::~Crowd() = default;

void Crowd::run() {
  onProgress(0);
  Context_.run();
}

void Crowd::onProgress(std::size_t Sent) {
  SentBytes_ += Sent;
  Stall_.expires_after(StallLimit);
  Stall_.async_wait([this](const Error &Failure) {
    if (!Failure)
      Context_.stop();
  });
}

void Crowd::onEnd(bool Failed) {
  if (Failed)
    ++Disconnected_;
  if (--Active_ == 0)
    Stall_.cancel();
}

} // namespace limits
