#pragma once

#include "nutmegwell/site/agent.h"
#include <cppunit/extensions/HelperMacros.h>

namespace nutmegwell::site {

/// An agent under test. The tests take the place of its worker and entry host.
class AgentFixture : public CppUnit::TestFixture {
protected:
  static constexpr core::Term Term = 7;
  static constexpr std::uint64_t Link = 1;

  AgentState State_;
  core::TimePoint Now_{std::chrono::seconds(1000)};
  /// Latest call of each kind and the latest report.
  std::optional<WorkerCall> Poll_;
  std::optional<WorkerCall> Start_;
  std::optional<WorkerCall> Stop_;
  std::optional<WorkerCall> Identity_;
  std::optional<cell::AgentReport> Report_;
  std::uint64_t OrderSequence_ = 0;

  void collect(AgentEffects Out) {
    advanceAgent(State_, Now_, Out);
    for (WorkerCall &Call : Out.Calls_) {
      if (std::holds_alternative<PollCall>(Call.Body_))
        Poll_ = Call;
      if (std::holds_alternative<StartCall>(Call.Body_))
        Start_ = Call;
      if (std::holds_alternative<StopCall>(Call.Body_))
        Stop_ = Call;
      if (std::holds_alternative<IdentityCall>(Call.Body_))
        Identity_ = Call;
    }
    for (cell::PeerMessage &Message : Out.Sends_)
      if (auto *Report = std::get_if<cell::AgentReport>(&Message))
        Report_ = *Report;
  }

  /// Delivers an announcement of the process that runs at the worker's address.
  void announce(bool Draining, std::uint64_t Sequence,
                std::int64_t Incarnation = 1,
                core::Duration DrainRemaining = {}) {
    announceUnverified(Draining, Sequence, Incarnation, DrainRemaining);
    if (Identity_)
      respondToIdentity(Incarnation);
  }

  /// Delivers an announcement and leaves the identity call unanswered.
  void announceUnverified(bool Draining, std::uint64_t Sequence,
                          std::int64_t Incarnation,
                          core::Duration DrainRemaining = {}) {
    WorkerAnnouncement Announcement;
    Announcement.Info_.Id_ = "worker-" + std::to_string(Incarnation);
    Announcement.Info_.WorkerIncarnation_ = Incarnation;
    Announcement.Info_.Service_ = "service";
    Announcement.Info_.Draining_ = Draining;
    Announcement.Info_.DrainRemaining_ = DrainRemaining;
    Announcement.WorkerClock_ = std::chrono::milliseconds(100);
    Announcement.Sequence_ = Sequence;
    AgentEffects Out;
    onWorkerAnnounced(State_, Announcement, Now_, Out);
    collect(std::move(Out));
  }

  void respondToIdentity(std::int64_t Incarnation,
                         std::optional<cell::RefusalKind> Refusal = {}) {
    WorkerResponse Response;
    Response.Id_ = Identity_->Id_;
    Response.Answered_ = true;
    Response.Refusal_ = Refusal;
    Response.WorkerIncarnation_ = Incarnation;
    Identity_.reset();
    AgentEffects Out;
    onWorkerResponse(State_, Response, Now_, Out);
    collect(std::move(Out));
  }

  void respondToPoll(WorkerTime Clock, WorkerRuns Runs = {}) {
    WorkerResponse Response;
    Response.Id_ = Poll_->Id_;
    Response.Answered_ = true;
    Response.WorkerClock_ = Clock;
    Response.Runs_ = std::move(Runs);
    Poll_.reset();
    AgentEffects Out;
    onWorkerResponse(State_, Response, Now_, Out);
    collect(std::move(Out));
  }

  void respondToStart(bool Answered, WorkerTime Clock,
                      std::optional<cell::RefusalKind> Refusal = {}) {
    WorkerResponse Response;
    Response.Refusal_ = Refusal;
    Response.Id_ = Start_->Id_;
    Response.Answered_ = Answered;
    if (Answered)
      Response.WorkerClock_ = Clock;
    AgentEffects Out;
    onWorkerResponse(State_, Response, Now_, Out);
    collect(std::move(Out));
  }

  cell::HolderOrders orders(std::uint64_t ReportSequence,
                            core::Term OrdersTerm = Term) {
    cell::HolderOrders Orders;
    Orders.Term_ = OrdersTerm;
    Orders.Sequence_ = ++OrderSequence_;
    Orders.ReportSequence_ = ReportSequence;
    Orders.GrantsLease_ = true;
    Orders.WorkerIncarnation_ = 1;
    return Orders;
  }

  void deliver(const cell::HolderOrders &Orders) {
    AgentEffects Out;
    onAgentMessage(State_, Link, Orders, Now_, Out);
    collect(std::move(Out));
  }

  static cell::RunId run() { return {{"job", 0, 0, 0}, 70}; }

  void deliverStart(std::uint64_t ReportSequence) {
    cell::HolderOrders Orders = orders(ReportSequence);
    Orders.Starts_.push_back({run(), "command", "", ""});
    deliver(Orders);
  }

  /// Connects to an entry host before a worker has announced itself.
  void connectWithoutWorker() {
    AgentSettings Settings;
    Settings.Host_ = "w1";
    Settings.Seeds_ = {"10.0.0.1:7000"};
    State_ = makeAgentState(Settings, Now_);
    AgentEffects Out;
    advanceAgent(State_, Now_, Out);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7000"), *Out.DialAddress_);
    AgentEffects Opened;
    onEntryLinkOpened(State_, Link, Now_, Opened);
    collect(std::move(Opened));
  }

  /// Connects to an entry host and has the worker adopt the term.
  void connect() {
    connectWithoutWorker();
    announce(false, 1);
    deliver(orders(Report_->Sequence_));
    respondToPoll(std::chrono::milliseconds(101));
    CPPUNIT_ASSERT_EQUAL(Term, Report_->Term_);
  }

  /// Reports the loss of the response to the poll in flight.
  void losePollResponse(bool ConnectionRefused = false) {
    WorkerResponse Lost;
    Lost.Id_ = Poll_->Id_;
    Lost.ConnectionRefused_ = ConnectionRefused;
    Poll_.reset();
    AgentEffects Out;
    onWorkerResponse(State_, Lost, Now_, Out);
    collect(std::move(Out));
  }

  /// Lets the worker's host refuse connections until the agent reports the end
  /// of the worker.
  void endWorker() {
    for (int I = 0; I < 2; ++I) {
      Now_ += std::chrono::milliseconds(150);
      collect({});
      losePollResponse(true);
    }
    CPPUNIT_ASSERT(!Report_->Worker_);
  }
};

} // namespace nutmegwell::site
