#include "nutmegwell/aio/inputbudget.h"
#include <algorithm>
#include <optional>
#include <tuple>

namespace nutmegwell::aio {

namespace {

using Entry = InputBudget::Entry;
using EntryIterator = std::map<InputId, Entry>::iterator;

void setHeld(InputBudget &Budget, Entry &Target, std::size_t Held) {
  if (Held == Target.Held_)
    return;
  std::size_t &OfPeer = Budget.HeldByPeer_[Target.Peer_];
  OfPeer = OfPeer - Target.Held_ + Held;
  Budget.Held_ = Budget.Held_ - Target.Held_ + Held;
  Target.Held_ = Held;
  if (OfPeer == 0)
    Budget.HeldByPeer_.erase(Target.Peer_);
}

InputVictim remove(InputBudget &Budget, EntryIterator Found,
                   InputRefusal Cause) {
  InputVictim Victim{Found->first, Cause, Found->second.Peer_};
  setHeld(Budget, Found->second, 0);
  Budget.Connections_.erase(Found);
  return Victim;
}

void enter(Entry &Target, InputPhase Phase, core::TimePoint Now) {
  Target.Phase_ = Phase;
  Target.Since_ = Now;
  Target.Received_ = 0;
}

/// Bytes held multiplied by the time for which they are held. A minimum time
/// lets the largest of several new connections come first.
double holding(const Entry &Candidate, core::TimePoint Now) {
  constexpr auto MinAge = std::chrono::milliseconds(1);
  const std::chrono::duration<double> Age = Now - Candidate.Since_ + MinAge;
  return static_cast<double>(Candidate.Held_) * Age.count();
}

/// Returns true if the connections of \p Peer hold more than their share.
bool exceedsShare(const InputBudget &Budget, const std::string &Peer) {
  const auto Found = Budget.HeldByPeer_.find(Peer);
  return Found != Budget.HeldByPeer_.end() &&
         static_cast<double>(Found->second) >
             Budget.Limits_.MaxPeerShare_ *
                 static_cast<double>(Budget.Limits_.MaxBytes_);
}

/// Names connections until the others are within the budget. Connections of
/// peers that exceed their share come before all others.
std::vector<InputVictim> trim(InputBudget &Budget, core::TimePoint Now) {
  std::vector<InputVictim> Victims;
  while (Budget.Held_ > Budget.Limits_.MaxBytes_) {
    EntryIterator Chosen = Budget.Connections_.end();
    std::tuple<bool, double> Highest;
    for (auto It = Budget.Connections_.begin(); It != Budget.Connections_.end();
         ++It) {
      if (It->second.Held_ == 0)
        continue;
      const std::tuple<bool, double> Rank{
          exceedsShare(Budget, It->second.Peer_), holding(It->second, Now)};
      if (Chosen == Budget.Connections_.end() || Rank > Highest) {
        Chosen = It;
        Highest = Rank;
      }
    }
    if (Chosen == Budget.Connections_.end())
      break;
    Victims.push_back(remove(Budget, Chosen, InputRefusal::Budget));
  }
  return Victims;
}

/// Order in which connections are closed for a new one; the lowest first.
enum class CloseRank : std::uint8_t { NeverServed, Slow, Idle, Active };

std::optional<CloseRank> closeRank(const Entry &Candidate,
                                   const InputLimits &Limits,
                                   core::TimePoint Now) {
  switch (Candidate.Phase_) {
  case InputPhase::Waiting:
    return Candidate.Served_ ? CloseRank::Idle : CloseRank::NeverServed;
  case InputPhase::Handling:
    return std::nullopt;
  case InputPhase::Receiving:
  case InputPhase::Sending:
    break;
  }
  return Now - Candidate.Since_ >= Limits.RateGrace_ ? CloseRank::Slow
                                                     : CloseRank::Active;
}

/// Returns when a request that receives no further byte becomes too slow.
core::TimePoint slowAt(const Entry &Candidate, const InputLimits &Limits) {
  constexpr std::size_t MicrosecondsPerSecond = 1000000;
  const std::size_t Rate = std::max<std::size_t>(Limits.MinBytesPerSecond_, 1);
  return Candidate.Since_ + Limits.RateGrace_ +
         core::Duration(Candidate.Received_ * MicrosecondsPerSecond / Rate);
}

} // namespace

const char *name(InputRefusal Cause) {
  switch (Cause) {
  case InputRefusal::Budget:
    return "budget";
  case InputRefusal::Rate:
    return "rate";
  case InputRefusal::Connections:
    return "connections";
  case InputRefusal::Header:
    return "header";
  case InputRefusal::Body:
    return "body";
  case InputRefusal::Malformed:
    return "malformed";
  case InputRefusal::Time:
    return "time";
  }
  return "unknown";
}

std::vector<InputVictim> onConnected(InputBudget &Budget, InputId Id,
                                     const std::string &Peer,
                                     core::TimePoint Now) {
  Entry Added;
  Added.Peer_ = Peer;
  Added.Since_ = Now;
  Budget.Connections_.emplace(Id, std::move(Added));
  std::vector<InputVictim> Victims;
  while (Budget.Connections_.size() > Budget.Limits_.MaxConnections_) {
    EntryIterator Chosen = Budget.Connections_.end();
    std::tuple<CloseRank, double, core::TimePoint> Lowest;
    for (auto It = Budget.Connections_.begin(); It != Budget.Connections_.end();
         ++It) {
      const auto Rank = closeRank(It->second, Budget.Limits_, Now);
      if (!Rank || It->first == Id)
        continue;
      const std::tuple<CloseRank, double, core::TimePoint> Order{
          *Rank, -holding(It->second, Now), It->second.Since_};
      if (Chosen == Budget.Connections_.end() || Order < Lowest) {
        Chosen = It;
        Lowest = Order;
      }
    }
    if (Chosen == Budget.Connections_.end())
      Chosen = Budget.Connections_.find(Id);
    if (Chosen == Budget.Connections_.end())
      break;
    Victims.push_back(remove(Budget, Chosen, InputRefusal::Connections));
  }
  return Victims;
}

std::vector<InputVictim> onInput(InputBudget &Budget, InputId Id,
                                 std::size_t Received, std::size_t Held,
                                 core::TimePoint Now) {
  const auto Found = Budget.Connections_.find(Id);
  if (Found == Budget.Connections_.end())
    return {};
  if (Found->second.Phase_ != InputPhase::Receiving)
    enter(Found->second, InputPhase::Receiving, Now);
  Found->second.Received_ = Received;
  setHeld(Budget, Found->second, Held);
  return trim(Budget, Now);
}

void onRequestComplete(InputBudget &Budget, InputId Id, core::TimePoint Now) {
  const auto Found = Budget.Connections_.find(Id);
  if (Found == Budget.Connections_.end())
    return;
  setHeld(Budget, Found->second, 0);
  enter(Found->second, InputPhase::Handling, Now);
}

std::vector<InputVictim> onResponse(InputBudget &Budget, InputId Id,
                                    std::size_t Held, core::TimePoint Now) {
  const auto Found = Budget.Connections_.find(Id);
  if (Found == Budget.Connections_.end())
    return {};
  enter(Found->second, InputPhase::Sending, Now);
  setHeld(Budget, Found->second, Held);
  return trim(Budget, Now);
}

void onResponseSent(InputBudget &Budget, InputId Id, core::TimePoint Now) {
  const auto Found = Budget.Connections_.find(Id);
  if (Found == Budget.Connections_.end())
    return;
  setHeld(Budget, Found->second, 0);
  enter(Found->second, InputPhase::Waiting, Now);
  Found->second.Served_ = true;
}

void onDisconnected(InputBudget &Budget, InputId Id) {
  const auto Found = Budget.Connections_.find(Id);
  if (Found != Budget.Connections_.end())
    remove(Budget, Found, InputRefusal::Connections);
}

std::vector<InputVictim> slowInputs(InputBudget &Budget, core::TimePoint Now,
                                    core::TimePoint &Wake) {
  Wake = core::TimePoint::max();
  std::vector<InputVictim> Victims;
  for (auto It = Budget.Connections_.begin();
       It != Budget.Connections_.end();) {
    const auto Current = It++;
    if (Current->second.Phase_ != InputPhase::Receiving)
      continue;
    const core::TimePoint SlowAt = slowAt(Current->second, Budget.Limits_);
    if (SlowAt <= Now)
      Victims.push_back(remove(Budget, Current, InputRefusal::Rate));
    else
      Wake = std::min(Wake, SlowAt);
  }
  return Victims;
}

} // namespace nutmegwell::aio
