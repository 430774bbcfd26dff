#include "nutmegwell/history/historyfile.h"
#include "nutmegwell/history/rules.h"
#include "select.h"
#include <map>
#include <utility>

namespace nutmegwell::history {

namespace {

constexpr char Rule[] = "config-monotonic";

using VersionKey = std::pair<std::string, std::uint64_t>;

std::string name(const std::string &Item, std::uint64_t Version) {
  return Item + " version " + std::to_string(Version);
}

/// Returns the acceptances by item and version, and adds doubled ones.
std::map<VersionKey, std::size_t> collectAccepted(const History &Run,
                                                  Violations &Found) {
  std::map<VersionKey, std::size_t> Accepted;
  forEach<ConfigAccepted>(Run, [&](std::size_t I, const ConfigAccepted &E) {
    auto [Known, Inserted] =
        Accepted.emplace(VersionKey{E.Item_, E.Version_}, I);
    if (!Inserted)
      Found.push_back({Rule,
                       name(E.Item_, E.Version_) + " was accepted twice",
                       {Known->second, I}});
  });
  return Accepted;
}

} // namespace

Violations checkConfigMonotonic(const History &Run, const Bounds &Limits) {
  Violations Found;
  const auto Accepted = collectAccepted(Run, Found);
  /// Last observation of each process and item.
  std::map<std::pair<std::string, std::string>, std::size_t> Last;
  forEach<ConfigObserved>(Run, [&](std::size_t I, const ConfigObserved &E) {
    const std::string &Process = Run.Events_[I].Process_;
    auto [Before, First] = Last.emplace(std::make_pair(Process, E.Item_), I);
    if (!First) {
      const auto &Earlier = body<ConfigObserved>(Run, Before->second);
      if (E.Version_ < Earlier.Version_)
        Found.push_back({Rule,
                         Process + " went back to " + name(E.Item_, E.Version_),
                         {Before->second, I}});
      Before->second = I;
    }
    auto Own = Accepted.find({E.Item_, E.Version_});
    // Version 0 is the state before the first publication.
    if (Own == Accepted.end() && E.Version_ > 0)
      Found.push_back({Rule,
                       Process + " uses " + name(E.Item_, E.Version_) +
                           ", which was never accepted",
                       {I}});
    if (Own != Accepted.end()) {
      const auto &Publication = body<ConfigAccepted>(Run, Own->second);
      if (!Publication.Digest_.empty() && !E.Digest_.empty() &&
          Publication.Digest_ != E.Digest_)
        Found.push_back(
            {Rule,
             Process + " has another content of " + name(E.Item_, E.Version_),
             {Own->second, I}});
    }
    for (auto Newer = Accepted.upper_bound({E.Item_, E.Version_});
         Newer != Accepted.end() && Newer->first.first == E.Item_; ++Newer)
      if (between(Run, Newer->second, I) > Limits.ConfigInForce_) {
        Found.push_back({Rule,
                         Process + " still uses " + name(E.Item_, E.Version_),
                         {Newer->second, I}});
        break;
      }
  });
  return Found;
}

Violations checkAll(const History &Run, const Bounds &Limits) {
  Violations Found;
  for (auto Check :
       {checkGuaranteeReclaim, checkGangAtomic, checkDomainOut, checkOwnAnswer,
        checkTrueRefusal, checkAtMostOnce, checkUpstreamLeave,
        checkGracefulStop, checkConfigMonotonic})
    for (Violation &Each : Check(Run, Limits))
      Found.push_back(std::move(Each));
  return Found;
}

std::string describe(const History &Run, const Violations &Found) {
  std::string Text;
  for (const Violation &Each : Found) {
    Text += Each.Rule_ + ": " + Each.Message_ + "\n";
    for (std::size_t I : Each.Events_)
      Text += "  " + formatEvent(Run.Events_[I]) + "\n";
  }
  return Text;
}

} // namespace nutmegwell::history
