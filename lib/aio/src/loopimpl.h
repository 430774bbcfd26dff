#pragma once

#include "nutmegwell/aio/loop.h"
#include "nutmegwell/net/address.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>

namespace nutmegwell::aio {

struct Loop::Impl {
  boost::asio::io_context Context_{1};
  boost::asio::signal_set Signals_{Context_};
};

/// Converts \p Address. Throws when it is not an IPv4 address.
inline boost::asio::ip::tcp::endpoint endpointOf(const net::Address &Address) {
  return {boost::asio::ip::make_address_v4(Address.Ip_), Address.Port_};
}

} // namespace nutmegwell::aio
