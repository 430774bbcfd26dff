#pragma once

#include "nutmegwell/net/address.h"
#include "nutmegwell/settings/settings.h"

namespace nutmegwell::daemon {

/// Returns an address of the settings in the form that sockets take.
inline net::Address toAddress(const settings::HostPort &Value) {
  return net::Address{Value.Ip_, Value.Port_};
}

} // namespace nutmegwell::daemon
