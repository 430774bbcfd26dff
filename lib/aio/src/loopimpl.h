#pragma once

#include "nutmegwell/aio/loop.h"
#include "nutmegwell/net/address.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <utility>

namespace nutmegwell::aio {

struct Loop::Impl {
  boost::asio::io_context Context_{1};
  boost::asio::signal_set Signals_{Context_};
};

/// Converts \p Address. Throws when it is not an IPv4 address.
inline boost::asio::ip::tcp::endpoint endpointOf(const net::Address &Address) {
  return {boost::asio::ip::make_address_v4(Address.Ip_), Address.Port_};
}

/// Returns the IP address of the peer, or an empty string when it has gone.
inline std::string peerOf(const boost::asio::ip::tcp::socket &Socket) {
  boost::system::error_code Failure;
  const auto Endpoint = Socket.remote_endpoint(Failure);
  return Failure ? std::string() : Endpoint.address().to_string();
}

/// Calls \p Accept after a pause, because accepting fails at once, again and
/// again, while no descriptor is free.
template <typename Function>
void retryLater(boost::asio::steady_timer &Timer, Function Accept) {
  constexpr auto AcceptPause = std::chrono::milliseconds(100);
  Timer.expires_after(AcceptPause);
  Timer.async_wait(
      [Accept = std::move(Accept)](const boost::system::error_code &Failure) {
        if (!Failure)
          Accept();
      });
}

} // namespace nutmegwell::aio
