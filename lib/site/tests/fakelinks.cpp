#include "fakelinks.h"
#include <algorithm>
#include <set>
#include <vector>

namespace nutmegwell::site {

FakeLinks::TransferId FakeLinks::add(const std::string &Host,
                                     const std::string &Connection,
                                     std::size_t Size,
                                     std::function<void()> OnProgress,
                                     std::function<void()> OnDone) {
  const TransferId Id = NextId_++;
  Hosts_.at(Host).Transfers_[Id] = {Connection, static_cast<double>(Size),
                                    std::move(OnProgress), std::move(OnDone)};
  return Id;
}

bool FakeLinks::remove(const std::string &Host, TransferId Id) {
  return Hosts_.at(Host).Transfers_.erase(Id) > 0;
}

void FakeLinks::advance(core::Duration Step) {
  std::vector<std::function<void()>> Calls;
  for (auto &[Name, Receiver] : Hosts_) {
    std::vector<TransferId> Moving;
    std::set<std::string> Connections;
    for (const auto &[Id, Each] : Receiver.Transfers_)
      if (Connections.insert(Each.Connection_).second)
        Moving.push_back(Id);
    if (Moving.empty())
      continue;
    const double Seconds = std::chrono::duration<double>(Step).count();
    const double Share = static_cast<double>(Receiver.BytesPerSecond_) *
                         Seconds / static_cast<double>(Moving.size());
    for (TransferId Id : Moving) {
      Transfer &Each = Receiver.Transfers_[Id];
      Receiver.Arrived_ += std::min(Share, Each.Left_);
      Each.Left_ -= Share;
      if (Each.Left_ > 0) {
        Calls.push_back(Each.OnProgress_);
        continue;
      }
      Calls.push_back(std::move(Each.OnDone_));
      Receiver.Transfers_.erase(Id);
    }
  }
  for (const auto &Call : Calls)
    Call();
}

} // namespace nutmegwell::site
