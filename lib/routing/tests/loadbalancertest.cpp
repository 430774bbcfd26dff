#include "nutmegwell/routing/loadbalancer.h"
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>

using namespace nutmegwell;

/// Faults, their expected effects and the cases that produce them:
/// - upstream leaving or suspect: never chosen (unusableIsNeverChosen)
/// - all slots taken by this host: not chosen, still a candidate
///   (fullUpstreamIsNotChosen)
/// - own requests in the agent's report: counted once
///   (ownRequestsAreCountedOnce)
/// - one upstream busier than others: gets fewer requests (lessLoadedOfTwoWins)
class LoadBalancerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadBalancerTest);
  CPPUNIT_TEST(unusableIsNeverChosen);
  CPPUNIT_TEST(fullUpstreamIsNotChosen);
  CPPUNIT_TEST(ownRequestsAreCountedOnce);
  CPPUNIT_TEST(lessLoadedOfTwoWins);
  CPPUNIT_TEST_SUITE_END();

  static routing::RoutingSnapshot snapshot(std::size_t Count) {
    routing::RoutingSnapshot Result;
    for (std::size_t I = 0; I < Count; ++I)
      Result.Upstreams_.push_back(
          {"u" + std::to_string(I), 1, "d", "s", "", 8, 0, true});
    return Result;
  }

  /// Guards against requests to an upstream that is unusable, excluded or
  /// serves another service.
  void unusableIsNeverChosen() {
    CPPUNIT_ASSERT(rc::check("unusable is never chosen", [] {
      routing::RoutingSnapshot Snapshot = snapshot(5);
      std::set<model::NodeName> Excluded;
      for (routing::UpstreamView &Each : Snapshot.Upstreams_) {
        Each.Usable_ = *rc::gen::arbitrary<bool>();
        Each.Slots_ = *rc::gen::inRange(0, 3);
        Each.Service_ = *rc::gen::element<std::string>("s", "t");
        if (*rc::gen::inRange(0, 4) == 0)
          Excluded.insert(Each.Agent_);
      }
      const core::Random Source =
          core::seededRandom(*rc::gen::arbitrary<std::uint64_t>());
      const routing::UpstreamView *Chosen =
          routing::chooseUpstream(Snapshot, "s", {}, Excluded, Source)
              .Upstream_;
      bool Any = false;
      for (const routing::UpstreamView &Each : Snapshot.Upstreams_)
        Any = Any || (Each.Usable_ && Each.Slots_ > 0 && Each.Service_ == "s" &&
                      Excluded.count(Each.Agent_) == 0);
      RC_ASSERT(Any == (Chosen != nullptr));
      if (Chosen)
        RC_ASSERT(Chosen->Usable_ && Chosen->Slots_ > 0 &&
                  Chosen->Service_ == "s" &&
                  Excluded.count(Chosen->Agent_) == 0);
    }));
  }

  /// Guards against more requests from this host at an agent than it has slots.
  void fullUpstreamIsNotChosen() {
    const routing::RoutingSnapshot Snapshot = snapshot(1);
    const core::Random Source = core::seededRandom(1);
    routing::LocalLoads Loads;
    Loads["u0"].InFlight_ = 7;
    CPPUNIT_ASSERT(
        routing::chooseUpstream(Snapshot, "s", Loads, {}, Source).Upstream_);
    Loads["u0"].InFlight_ = 8;
    const auto Full = routing::chooseUpstream(Snapshot, "s", Loads, {}, Source);
    CPPUNIT_ASSERT(!Full.Upstream_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Full.Candidates_);
  }

  /// Guards against own requests that are counted again as requests of other
  /// entry hosts.
  void ownRequestsAreCountedOnce() {
    routing::RoutingSnapshot Snapshot = snapshot(2);
    routing::LocalLoads Loads;
    Loads["u0"].InFlight_ = 4;
    Loads["gone"].InFlight_ = 0;
    Snapshot.Upstreams_[0].InFlight_ = 6;
    Snapshot.Upstreams_[1].InFlight_ = 3;
    routing::adoptSnapshot(Loads, Snapshot);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Loads.count("gone"));
    CPPUNIT_ASSERT_EQUAL(6u,
                         routing::expectedLoad(Loads, Snapshot.Upstreams_[0]));
    Loads["u0"].InFlight_ = 1;
    CPPUNIT_ASSERT_EQUAL(3u,
                         routing::expectedLoad(Loads, Snapshot.Upstreams_[0]));
    CPPUNIT_ASSERT_EQUAL(3u,
                         routing::expectedLoad(Loads, Snapshot.Upstreams_[1]));
  }

  /// Guards against a choice that ignores load, and one that always takes the
  /// least loaded upstream and so sends every entry host to the same one.
  void lessLoadedOfTwoWins() {
    routing::RoutingSnapshot Snapshot = snapshot(4);
    Snapshot.Upstreams_[0].InFlight_ = 7;
    Snapshot.Upstreams_[1].InFlight_ = 2;
    Snapshot.Upstreams_[1].Slots_ = 16;
    Snapshot.Upstreams_[2].InFlight_ = 2;
    Snapshot.Upstreams_[3].InFlight_ = 3;
    const core::Random Source = core::seededRandom(5);
    std::map<model::NodeName, int> Chosen;
    constexpr int Rounds = 6000;
    for (int I = 0; I < Rounds; ++I)
      ++Chosen[routing::chooseUpstream(Snapshot, "s", {}, {}, Source)
                   .Upstream_->Agent_];
    // Expected shares of requests, over all pairs, are 1/2, 1/3, 1/6 and 0.
    CPPUNIT_ASSERT_EQUAL(0, Chosen["u0"]);
    CPPUNIT_ASSERT(Chosen["u1"] > Chosen["u2"] && Chosen["u2"] > Chosen["u3"]);
    CPPUNIT_ASSERT(Chosen["u3"] > Rounds / 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadBalancerTest);
