#include "eventaccess.h"
#include "nutmegwell/history/historyfile.h"
#include "nutmegwell/history/rules.h"
#include <map>
#include <utility>

namespace nutmegwell::history {

namespace {

constexpr char Rule[] = "config-monotonic";

using VersionKey = std::pair<std::string, std::uint64_t>;

std::string versionName(const std::string &Item, std::uint64_t Version) {
  return Item + " version " + std::to_string(Version);
}

/// Returns the index of each ConfigAccepted event by item and version, and adds
/// a violation for each version that was accepted twice.
std::map<VersionKey, std::size_t> collectAccepted(const History &Run,
                                                  Violations &Found) {
  std::map<VersionKey, std::size_t> Accepted;
  forEachEvent<ConfigAccepted>(Run, [&](std::size_t I,
                                        const ConfigAccepted &E) {
    auto [Existing, Inserted] =
        Accepted.emplace(VersionKey{E.Item_, E.Version_}, I);
    if (!Inserted)
      Found.push_back({Rule,
                       versionName(E.Item_, E.Version_) + " was accepted twice",
                       {Existing->second, I}});
  });
  return Accepted;
}

} // namespace

Violations checkConfigMonotonic(const History &Run, const Bounds &Limits) {
  Violations Found;
  const auto Accepted = collectAccepted(Run, Found);
  /// Index of the last ConfigObserved event, by process and item.
  std::map<std::pair<std::string, std::string>, std::size_t> LastObserved;
  forEachEvent<ConfigObserved>(Run, [&](std::size_t I,
                                        const ConfigObserved &E) {
    const std::string &Process = Run.Events_[I].Process_;
    auto [Previous, First] =
        LastObserved.emplace(std::make_pair(Process, E.Item_), I);
    if (!First) {
      const auto &Earlier = bodyAt<ConfigObserved>(Run, Previous->second);
      if (E.Version_ < Earlier.Version_)
        Found.push_back(
            {Rule,
             Process + " went back to " + versionName(E.Item_, E.Version_),
             {Previous->second, I}});
      Previous->second = I;
    }
    auto Match = Accepted.find({E.Item_, E.Version_});
    // Version 0 is the state before the first publication.
    if (Match == Accepted.end() && E.Version_ > 0)
      Found.push_back({Rule,
                       Process + " uses " + versionName(E.Item_, E.Version_) +
                           ", which was never accepted",
                       {I}});
    if (Match != Accepted.end()) {
      const auto &Publication = bodyAt<ConfigAccepted>(Run, Match->second);
      if (!Publication.Digest_.empty() && !E.Digest_.empty() &&
          Publication.Digest_ != E.Digest_)
        Found.push_back({Rule,
                         Process + " has different content for " +
                             versionName(E.Item_, E.Version_),
                         {Match->second, I}});
    }
    for (auto Newer = Accepted.upper_bound({E.Item_, E.Version_});
         Newer != Accepted.end() && Newer->first.first == E.Item_; ++Newer)
      if (timeBetween(Run, Newer->second, I) > Limits.ConfigInForce_) {
        Found.push_back(
            {Rule,
             Process + " still uses " + versionName(E.Item_, E.Version_),
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
