#pragma once

#include "nutmegwell/aio/inputbudget.h"
#include "nutmegwell/aio/loop.h"
#include <functional>
#include <memory>
#include <string>

namespace nutmegwell::aio {

/// Called on the loop's thread when a request is refused or a connection closed
/// because of the limits.
using RefusalHandler =
    std::function<void(InputRefusal Cause, const std::string &Peer)>;

/// Applies an InputBudget to the connections of the servers that share it:
/// closes the connections that the budget names, and checks the rate of
/// requests at intervals. Call all functions on the loop's thread.
class InputGuard {
public:
  InputGuard(Loop &Owner, const InputLimits &Limits,
             RefusalHandler OnRefused = {});
  InputGuard(const InputGuard &) = delete;
  InputGuard &operator=(const InputGuard &) = delete;
  ~InputGuard();

  /// Adds a connection. \p Close is called at most once, when the connection
  /// has to be closed, at the earliest within this call.
  InputId connect(const std::string &Peer, std::function<void()> Close);
  void disconnect(InputId Id);

  // The functions of the same name of InputBudget, with the current time.
  void input(InputId Id, std::size_t Received, std::size_t Held);
  void requestComplete(InputId Id);
  void response(InputId Id, std::size_t Held);
  void responseSent(InputId Id);

  /// Reports a request that the server itself refused.
  void refused(InputRefusal Cause, const std::string &Peer);

  const InputBudget &budget() const;

  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
};

} // namespace nutmegwell::aio
