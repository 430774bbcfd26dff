#include "fakesite.h"
#include "nutmegwell/history/rules.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

namespace {

/// Returns a job of one task that takes a quarter of the simulated worker for
/// \p RunTime, which is also its objective.
jobs::JobSpec jobOf(std::chrono::milliseconds RunTime) {
  return jobs::JobSpecBuilder()
      .command(std::to_string(RunTime.count()))
      .step(1, {1000, 1000, FakeTaskAccelerators}, RunTime)
      .build();
}

/// A site of three entry hosts with one worker that runs four tasks at a time.
/// The objective of a job is its run time.
struct LoadedSite {
  LoadedSite() : Site_(3) {
    Site_.addWorker("w0", "a", 1);
    for (const char *Host : {"e0", "e1", "e2"})
      enable(Host, true);
    Site_.run(3s);
    Holder_ = Site_.holders().at(0);
    Other_ = Holder_ == "e1" ? "e2" : "e1";
  }

  void enable(const std::string &Host, bool Value) {
    Site_.entry(Host).Settings_.Policy_.LoadAdmission_.Enabled_ = Value;
  }

  /// Submits work for more than a minute, and waits for the report.
  void overload() {
    for (int I = 0; I < 64; ++I)
      Site_.submit("e0", "b" + std::to_string(I), jobOf(5s));
    Site_.run(600ms);
  }

  CallToken submit(const std::string &Host, const std::string &Job) {
    return Site_.submit(Host, Job, jobOf(1s));
  }

  /// Submits a job of 1 s and returns the reply.
  CallerReply reply(const std::string &Host, const std::string &Job) {
    const CallToken Token = submit(Host, Job);
    Site_.run(200ms);
    return Site_.Replies_.at(Token);
  }

  bool refuses(const std::string &Host, const std::string &Job) {
    const CallerReply Reply = reply(Host, Job);
    return Reply.Kind_ == ReplyKind::Refused &&
           Reply.Cause_ == RefusalCause::Load;
  }

  bool accepts(const std::string &Host, const std::string &Job) {
    return reply(Host, Job).Kind_ == ReplyKind::Accepted;
  }

  std::size_t recordsOf(const std::string &Job) const {
    const auto &Log = Site_.Store_.Records_.at(store::Stream::Cell);
    return std::count_if(Log.begin(), Log.end(), [&](const auto &Record) {
      return Record.Key_ == "j/" + Job;
    });
  }

  FakeSite Site_;
  std::string Holder_;
  std::string Other_;
};

} // namespace

/// Refusals because of the load, on a site whose work lasts for more than a
/// minute.
class LoadRefusalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadRefusalTest);
  CPPUNIT_TEST(hopelessJobIsRefusedAtOnceAndNeverRuns);
  CPPUNIT_TEST(nothingIsRefusedWhileDisabled);
  CPPUNIT_TEST(refusedJobIsAcceptedElsewhereOnce);
  CPPUNIT_TEST(knownJobIsNotRefused);
  CPPUNIT_TEST(jobInFlightIsNotRefused);
  CPPUNIT_TEST(jobOfUnknownOutcomeIsNotRefused);
  CPPUNIT_TEST(lostLinkAdmits);
  CPPUNIT_TEST(pausedHolderAdmits);
  CPPUNIT_TEST(takeoverAdmits);
  CPPUNIT_TEST(handoverAdmits);
  CPPUNIT_TEST(storeOutageIsAnsweredAsBefore);
  CPPUNIT_TEST(guaranteedJobIsAdmitted);
  CPPUNIT_TEST(timedAndLongRunningJobsAreAdmitted);
  CPPUNIT_TEST(returningCallerKeepsItsFirstArrival);
  CPPUNIT_TEST(firstArrivalsAreBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against callers that wait for a job that is worth nothing in the
  /// end, and against a refused job that runs.
  void hopelessJobIsRefusedAtOnceAndNeverRuns() {
    LoadedSite Loaded;
    Loaded.overload();
    for (const std::string Host : {"e0", "e1", "e2"}) {
      const CallToken Token = Loaded.submit(Host, "x-" + Host);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Loaded.Site_.Replies_.count(Token));
      const CallerReply &Reply = Loaded.Site_.Replies_.at(Token);
      CPPUNIT_ASSERT(Reply.Kind_ == ReplyKind::Refused);
      CPPUNIT_ASSERT(Reply.Cause_ == RefusalCause::Load);
      CPPUNIT_ASSERT(Reply.RetryAfter_ >= 1s && Reply.RetryAfter_ <= 10s);
      CPPUNIT_ASSERT(!Reply.Message_.empty());
    }
    Loaded.Site_.run(100s);
    for (const std::string Host : {"e0", "e1", "e2"})
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Loaded.recordsOf("x-" + Host));
    history::History Run;
    Run.Events_ = Loaded.Site_.Events_;
    CPPUNIT_ASSERT(history::checkTrueRefusal(Run, history::Bounds()).empty());
  }

  /// Guards against refusals that nobody has asked for.
  void nothingIsRefusedWhileDisabled() {
    LoadedSite Loaded;
    for (const char *Host : {"e0", "e1", "e2"})
      Loaded.enable(Host, false);
    Loaded.overload();
    CPPUNIT_ASSERT(Loaded.accepts("e0", "x"));
    CPPUNIT_ASSERT(Loaded.accepts("e1", "y"));
  }

  /// Guards against a job that runs twice because one host has refused it and
  /// others accept it.
  void refusedJobIsAcceptedElsewhereOnce() {
    LoadedSite Loaded;
    Loaded.overload();
    CPPUNIT_ASSERT(Loaded.refuses(Loaded.Other_, "x"));
    Loaded.enable(Loaded.Holder_, false);
    CPPUNIT_ASSERT(Loaded.accepts(Loaded.Holder_, "x"));
    CPPUNIT_ASSERT(Loaded.accepts(Loaded.Other_, "x"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Loaded.recordsOf("x"));
  }

  /// Guards against an untrue refusal of a job that was accepted and runs.
  void knownJobIsNotRefused() {
    LoadedSite Loaded;
    CPPUNIT_ASSERT(Loaded.accepts(Loaded.Other_, "x"));
    Loaded.overload();
    CPPUNIT_ASSERT(Loaded.refuses(Loaded.Other_, "y"));
    CPPUNIT_ASSERT(Loaded.accepts(Loaded.Other_, "x"));
  }

  /// Guards against an untrue refusal of a job whose append is on its way, or
  /// whose record this host has not read yet.
  void jobInFlightIsNotRefused() {
    LoadedSite Loaded;
    Loaded.overload();
    Loaded.enable(Loaded.Other_, false);
    const CallToken First = Loaded.submit(Loaded.Other_, "x");
    Loaded.enable(Loaded.Other_, true);
    const CallToken Second = Loaded.submit(Loaded.Other_, "x");
    while (!Loaded.Site_.replyKind(First))
      Loaded.Site_.run(10ms);
    CPPUNIT_ASSERT(Loaded.Site_.replyKind(First) == ReplyKind::Accepted);
    CPPUNIT_ASSERT(Loaded.Site_.replyKind(Second) == ReplyKind::Accepted);
    const CallToken Third = Loaded.submit(Loaded.Other_, "x");
    CPPUNIT_ASSERT(Loaded.Site_.replyKind(Third) == ReplyKind::Accepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Loaded.recordsOf("x"));
  }

  /// Guards against an untrue refusal of a job whose caller has got no outcome,
  /// and whose append takes effect later.
  void jobOfUnknownOutcomeIsNotRefused() {
    LoadedSite Loaded;
    Loaded.overload();
    // The caller waits for a shorter time than the append takes. Until the next
    // report, the host takes the cell for not overloaded.
    Loaded.Site_.Store_.ApplyDelay_ = 450ms;
    Loaded.Site_.entry(Loaded.Other_).Load_.Report_->Overloaded_ = false;
    const CallToken First =
        Loaded.Site_.submit(Loaded.Other_, "x", jobOf(1s), 100ms);
    Loaded.Site_.run(160ms);
    CPPUNIT_ASSERT(Loaded.Site_.replyKind(First) == ReplyKind::OutcomeUnknown);
    Loaded.Site_.run(140ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Loaded.recordsOf("x"));
    const CallToken Again = Loaded.submit(Loaded.Other_, "x");
    CPPUNIT_ASSERT(Loaded.Site_.replyKind(Again) != ReplyKind::Refused);
    const CallToken New = Loaded.submit(Loaded.Other_, "y");
    CPPUNIT_ASSERT(Loaded.Site_.replyKind(New) == ReplyKind::Refused);
    Loaded.Site_.Store_.ApplyDelay_ = 0ms;
    Loaded.Site_.run(1s);
    CPPUNIT_ASSERT(Loaded.Site_.replyKind(Again) == ReplyKind::Accepted);
  }

  /// Guards against refusals by a report that no longer holds: the link to the
  /// holder is lost.
  void lostLinkAdmits() {
    LoadedSite Loaded;
    Loaded.overload();
    Loaded.Site_.cutLink(Loaded.Holder_, Loaded.Other_);
    CPPUNIT_ASSERT(Loaded.refuses(Loaded.Other_, "x"));
    Loaded.Site_.run(1s);
    CPPUNIT_ASSERT(Loaded.accepts(Loaded.Other_, "x"));
    CPPUNIT_ASSERT(Loaded.refuses(Loaded.Holder_, "y"));
  }

  /// Guards against refusals by the report of a holder that is paused.
  void pausedHolderAdmits() {
    LoadedSite Loaded;
    Loaded.overload();
    Loaded.Site_.pause(Loaded.Holder_);
    Loaded.Site_.run(1100ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Loaded.Site_.holders().size());
    CPPUNIT_ASSERT(Loaded.accepts(Loaded.Other_, "x"));
  }

  /// Guards against refusals by the report of a holder that was replaced, and
  /// by that of a new holder that does not know yet what runs.
  void takeoverAdmits() {
    LoadedSite Loaded;
    Loaded.overload();
    CPPUNIT_ASSERT(Loaded.refuses(Loaded.Other_, "x"));
    Loaded.Site_.kill(Loaded.Holder_);
    while (Loaded.Site_.holders().empty())
      Loaded.Site_.run(10ms);
    const std::string New = Loaded.Site_.holders().at(0);
    const CallToken Token = Loaded.submit(New, "x");
    Loaded.Site_.run(100ms);
    CPPUNIT_ASSERT(Loaded.Site_.replyKind(Token) == ReplyKind::Accepted);
    Loaded.Site_.run(1s);
    CPPUNIT_ASSERT(Loaded.refuses(New, "y"));
  }

  /// Guards against refusals by a recent report of a holder that has handed the
  /// cell over.
  void handoverAdmits() {
    LoadedSite Loaded;
    Loaded.overload();
    CPPUNIT_ASSERT(Loaded.refuses(Loaded.Other_, "x"));
    const EntryState &Entry = Loaded.Site_.entry(Loaded.Other_);
    const core::Term Term = Entry.View_.Term_;
    Loaded.Site_.stop(Loaded.Holder_);
    while (Entry.View_.Term_ == Term)
      Loaded.Site_.run(10ms);
    CPPUNIT_ASSERT(Loaded.Site_.Now_ - Entry.Load_.ReceivedAt_ < 1s);
    const CallToken Token = Loaded.submit(Loaded.Other_, "x");
    CPPUNIT_ASSERT(Loaded.Site_.replyKind(Token) != ReplyKind::Refused);
  }

  /// Guards against a store outage that is answered as an overload: a caller
  /// without time to return is held, others are refused.
  void storeOutageIsAnsweredAsBefore() {
    LoadedSite Loaded;
    Loaded.overload();
    Loaded.Site_.Store_.RefusedHosts_ = {"*"};
    Loaded.Site_.run(2s);
    const CallerReply Reply = Loaded.reply(Loaded.Other_, "x");
    CPPUNIT_ASSERT(Reply.Kind_ == ReplyKind::Refused);
    CPPUNIT_ASSERT(Reply.Cause_ == RefusalCause::Store);
    CPPUNIT_ASSERT(Reply.RetryAfter_ == 1s);
    const CallToken Held =
        Loaded.Site_.submit(Loaded.Holder_, "y", jobOf(1s), 1s);
    CPPUNIT_ASSERT(!Loaded.Site_.replyKind(Held));
  }

  /// Guards against a broken guarantee, and against an account that floods the
  /// site with urgent jobs because it has one: it covers two tasks.
  void guaranteedJobIsAdmitted() {
    LoadedSite Loaded;
    Loaded.overload();
    Loaded.Site_.Store_.publish("tables", "8");
    Loaded.Site_.run(200ms);
    const auto IsRefused = [&](const std::string &Job, std::uint32_t Tasks) {
      const auto Gang = jobs::JobSpecBuilder()
                            .step(Tasks, {1000, 1000, FakeTaskAccelerators}, 1s)
                            .gang()
                            .build();
      const CallToken Token = Loaded.Site_.submit(Loaded.Other_, Job, Gang);
      return Loaded.Site_.replyKind(Token) == ReplyKind::Refused;
    };
    CPPUNIT_ASSERT(IsRefused("wide", 3));
    CPPUNIT_ASSERT(!IsRefused("guaranteed", 2));
  }

  /// Guards against refusals of work whose start does not depend on the load at
  /// its submission, or that has no end.
  void timedAndLongRunningJobsAreAdmitted() {
    LoadedSite Loaded;
    Loaded.overload();
    const auto IsRefused = [&](const std::string &Job,
                               const jobs::JobSpec &Spec) {
      const CallToken Token = Loaded.Site_.submit(Loaded.Other_, Job, Spec);
      return Loaded.Site_.replyKind(Token) == ReplyKind::Refused;
    };
    jobs::JobSpecBuilder Builder;
    Builder.step(1, {1000, 1000, FakeTaskAccelerators}, 1s);
    CPPUNIT_ASSERT(IsRefused("x", Builder.build()));
    CPPUNIT_ASSERT(!IsRefused("serving", Builder.longRunning().build()));
    CPPUNIT_ASSERT(
        !IsRefused("timed", jobs::JobSpecBuilder()
                                .step(1, {1000, 1000, FakeTaskAccelerators}, 1s)
                                .repeat(3, Loaded.Site_.Wall_ + 100s, 1s)
                                .build()));
  }

  /// Guards against a caller that loses its place because it was refused.
  void returningCallerKeepsItsFirstArrival() {
    LoadedSite Loaded;
    Loaded.overload();
    const jobs::WallTime First = Loaded.Site_.Wall_;
    CPPUNIT_ASSERT(Loaded.refuses(Loaded.Other_, "x"));
    CPPUNIT_ASSERT(Loaded.refuses(Loaded.Other_, "x"));
    Loaded.Site_.cutLink(Loaded.Holder_, Loaded.Other_);
    Loaded.Site_.run(1100ms);
    CPPUNIT_ASSERT(Loaded.accepts(Loaded.Other_, "x"));
    CPPUNIT_ASSERT(Loaded.accepts(Loaded.Other_, "y"));
    const jobs::View &View = Loaded.Site_.entry(Loaded.Other_).View_;
    CPPUNIT_ASSERT(View.Jobs_.at("x").Accepted_.Submitted_ == First);
    CPPUNIT_ASSERT(View.Jobs_.at("y").Accepted_.Submitted_ > First + 1s);
  }

  /// Guards against a host whose memory grows with refused jobs, and against a
  /// place that is kept for ever.
  void firstArrivalsAreBounded() {
    LoadedSite Loaded;
    Loaded.overload();
    const RecentJobs<FirstArrival> &Kept =
        Loaded.Site_.entry(Loaded.Other_).Load_.FirstArrivals_;
    Loaded.submit(Loaded.Other_, "old");
    for (int I = 0; I < 5000; ++I)
      Loaded.submit(Loaded.Other_, "x" + std::to_string(I));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4096), Kept.Entries_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(4096), Kept.Ages_.size());
    const jobs::WallTime First = Loaded.Site_.Wall_;
    Loaded.submit(Loaded.Other_, "late");
    Loaded.Site_.run(61s);
    Loaded.enable(Loaded.Holder_, false);
    Loaded.Site_.run(2s);
    CPPUNIT_ASSERT(Loaded.accepts(Loaded.Other_, "late"));
    CPPUNIT_ASSERT(Loaded.Site_.entry(Loaded.Other_)
                       .View_.Jobs_.at("late")
                       .Accepted_.Submitted_ > First + 61s);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadRefusalTest);
