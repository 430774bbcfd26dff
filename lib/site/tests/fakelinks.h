#pragma once

#include "nutmegwell/core/time.h"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace nutmegwell::site {

/// Simulates the links by which hosts receive. The connections of a host share
/// its rate equally; the transfers of one connection follow one another.
class FakeLinks {
public:
  using TransferId = std::uint64_t;

  /// Limits what \p Host receives; hosts without a limit receive at once.
  void limit(const std::string &Host, std::size_t BytesPerSecond) {
    Hosts_[Host].BytesPerSecond_ = BytesPerSecond;
  }
  bool isLimited(const std::string &Host) const { return Hosts_.count(Host); }

  /// Starts a transfer to a limited host. \p OnProgress is called after each
  /// step in which bytes arrive, and \p OnDone with the last byte.
  TransferId add(const std::string &Host, const std::string &Connection,
                 std::size_t Size, std::function<void()> OnProgress,
                 std::function<void()> OnDone);
  /// Ends a transfer, as when its connection is closed. Returns false when it
  /// is over already.
  bool remove(const std::string &Host, TransferId Id);

  /// Lets bytes arrive for \p Step.
  void advance(core::Duration Step);

  /// Bytes that have arrived at a host.
  std::size_t arrivedBytes(const std::string &Host) const {
    return static_cast<std::size_t>(Hosts_.at(Host).Arrived_);
  }

private:
  struct Transfer {
    std::string Connection_;
    double Left_ = 0;
    std::function<void()> OnProgress_;
    std::function<void()> OnDone_;
  };
  struct Host {
    std::size_t BytesPerSecond_ = 0;
    /// In the order in which they began.
    std::map<TransferId, Transfer> Transfers_;
    double Arrived_ = 0;
  };

  std::map<std::string, Host> Hosts_;
  TransferId NextId_ = 1;
};

} // namespace nutmegwell::site
