#include "nutmegwell/client/transport.h"

namespace nutmegwell::client {

Transport httpTransport() {
  return {[](const net::Address &Entry, const net::HttpRequest &Request,
             core::Duration Timeout) {
    return net::HttpClient(Entry).call(Request, Timeout);
  }};
}

} // namespace nutmegwell::client
