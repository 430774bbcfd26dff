#pragma once

#include "nutmegwell/net/address.h"
#include "nutmegwell/settings/settings.h"

namespace nutmegwell::daemon {

/// Converts an address of the settings to the address type of the net library.
inline net::Address toAddress(const settings::HostPort &Value) {
  return net::Address{Value.Ip_, Value.Port_};
}

} // namespace nutmegwell::daemon
