#include "nutmegwell/aio/inputguard.h"
#include "loopimpl.h"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace nutmegwell::aio {

namespace {

namespace asio = boost::asio;

/// Shortest time between two checks of the rate, so that many slow connections
/// cost one check and not one each.
constexpr core::Duration MinCheckInterval = std::chrono::milliseconds(250);

} // namespace

struct InputGuard::Impl : std::enable_shared_from_this<InputGuard::Impl> {
  Impl(Loop &Owner, const InputLimits &Limits, RefusalHandler Function)
      : Timer_(Owner.impl().Context_), OnRefused_(std::move(Function)) {
    Budget_.Limits_ = Limits;
  }

  void close(const std::vector<InputVictim> &Victims) {
    for (const InputVictim &Victim : Victims) {
      report(Victim.Cause_, Victim.Peer_);
      const auto Found = Closers_.find(Victim.Id_);
      if (Found == Closers_.end())
        continue;
      const std::function<void()> Close = std::move(Found->second);
      Closers_.erase(Found);
      Close();
    }
  }

  void report(InputRefusal Cause, const std::string &Peer) const {
    if (OnRefused_)
      OnRefused_(Cause, Peer);
  }

  void checkAt(core::TimePoint Time) {
    Armed_ = true;
    Timer_.expires_at(Time);
    Timer_.async_wait([Weak = weak_from_this(),
                       Time](const boost::system::error_code &Error) {
      const auto Self = Weak.lock();
      if (Self && !Error)
        Self->check(Time);
    });
  }

  void check(core::TimePoint Planned) {
    Armed_ = false;
    const core::TimePoint Now = Clock_.Now_();
    // A process that was suspended has not read what has arrived meanwhile.
    if (Now - Planned > MinCheckInterval)
      return checkAt(Now + MinCheckInterval);
    core::TimePoint Wake;
    close(slowInputs(Budget_, Now, Wake));
    // Requests that begin later may become slow before the known ones do.
    if (Wake != core::TimePoint::max() && !Armed_)
      checkAt(std::clamp(
          Wake, Now + MinCheckInterval,
          Now + std::max(Budget_.Limits_.RateGrace_, MinCheckInterval)));
  }

  core::Clock Clock_ = core::steadyClock();
  asio::steady_timer Timer_;
  RefusalHandler OnRefused_;
  InputBudget Budget_;
  std::map<InputId, std::function<void()>> Closers_;
  InputId NextId_ = 1;
  bool Armed_ = false;
};

InputGuard::InputGuard(Loop &Owner, const InputLimits &Limits,
                       RefusalHandler OnRefused)
    : Impl_(std::make_shared<Impl>(Owner, Limits, std::move(OnRefused))) {}

InputGuard::~InputGuard() = default;

InputId InputGuard::connect(const std::string &Peer,
                            std::function<void()> Close) {
  const InputId Id = Impl_->NextId_++;
  Impl_->Closers_[Id] = std::move(Close);
  Impl_->close(onConnected(Impl_->Budget_, Id, Peer, Impl_->Clock_.Now_()));
  return Id;
}

void InputGuard::disconnect(InputId Id) {
  Impl_->Closers_.erase(Id);
  onDisconnected(Impl_->Budget_, Id);
}

void InputGuard::input(InputId Id, std::size_t Received, std::size_t Held) {
  const core::TimePoint Now = Impl_->Clock_.Now_();
  Impl_->close(onInput(Impl_->Budget_, Id, Received, Held, Now));
  if (!Impl_->Armed_)
    Impl_->checkAt(Now + Impl_->Budget_.Limits_.RateGrace_);
}

void InputGuard::requestComplete(InputId Id) {
  onRequestComplete(Impl_->Budget_, Id, Impl_->Clock_.Now_());
}

void InputGuard::response(InputId Id, std::size_t Held) {
  Impl_->close(onResponse(Impl_->Budget_, Id, Held, Impl_->Clock_.Now_()));
}

void InputGuard::responseSent(InputId Id) {
  onResponseSent(Impl_->Budget_, Id, Impl_->Clock_.Now_());
}

void InputGuard::refused(InputRefusal Cause, const std::string &Peer) {
  Impl_->report(Cause, Peer);
}

const InputBudget &InputGuard::budget() const { return Impl_->Budget_; }

} // namespace nutmegwell::aio
