#include "nutmegwell/store/appender.h"
#include <algorithm>

namespace nutmegwell::store {

namespace {

/// Returns the bytes of a record in a call: a length of four bytes, a length of
/// the key of one byte, the key and the value.
std::size_t sizeInCall(const KeyedRecord &Record) {
  return 4 + 1 + Record.Key_.size() + Record.Value_.size();
}

std::size_t sizeInCall(const std::vector<KeyedRecord> &Records) {
  std::size_t Bytes = 0;
  for (const KeyedRecord &Record : Records)
    Bytes += sizeInCall(Record);
  return Bytes;
}

void formBatch(Appender &State, core::TimePoint Now) {
  AppendRequest Batch;
  Batch.Producer_ = State.Producer_;
  Batch.Epoch_ = State.Epoch_;
  Batch.Sequence_ = State.NextSequence_;
  std::size_t Bytes = 0;
  while (!State.Waiting_.empty()) {
    Appender::Pending &First = State.Waiting_.front();
    Bytes += sizeInCall(First.Records_);
    const bool Separate = First.Alone_ ||
                          Batch.Records_.size() + First.Records_.size() >
                              State.Policy_.MaxRecords_ ||
                          Bytes > State.Policy_.MaxCallBytes_;
    if (!State.BatchEntries_.empty() &&
        (Separate || State.BatchEntries_.back().Alone_))
      break;
    State.BatchEntries_.push_back(
        {First.Token_, First.Records_.size(), First.Last_, First.Alone_});
    std::move(First.Records_.begin(), First.Records_.end(),
              std::back_inserter(Batch.Records_));
    State.Waiting_.pop_front();
  }
  State.Batch_ = std::move(Batch);
  State.MayHaveTakenEffect_ = false;
  if (!State.UnfinishedSince_)
    State.UnfinishedSince_ = Now;
}

void clearBatch(Appender &State) {
  State.Batch_.reset();
  State.BatchEntries_.clear();
}

/// Puts the appends of the batch back in front of the waiting ones.
void dissolveBatch(Appender &State) {
  auto End = State.Batch_->Records_.end();
  for (auto It = State.BatchEntries_.rbegin(); It != State.BatchEntries_.rend();
       ++It) {
    auto Begin = End - static_cast<std::ptrdiff_t>(It->Records_);
    State.Waiting_.push_front(
        {It->Token_,
         {std::make_move_iterator(Begin), std::make_move_iterator(End)},
         It->Last_,
         It->Alone_});
    End = Begin;
  }
  clearBatch(State);
}

/// Divides the batch in flight, so that the next calls find the records that
/// the store does not take.
void divideBatch(Appender &State) {
  for (Appender::BatchEntry &Entry : State.BatchEntries_)
    Entry.Alone_ = true;
  const bool OneAppend = State.BatchEntries_.size() == 1;
  dissolveBatch(State);
  if (!OneAppend)
    return;
  Appender::Pending &First = State.Waiting_.front();
  const auto Middle = First.Records_.begin() +
                      static_cast<std::ptrdiff_t>(First.Records_.size() / 2);
  Appender::Pending FirstHalf{First.Token_,
                              {std::make_move_iterator(First.Records_.begin()),
                               std::make_move_iterator(Middle)},
                              /*Last=*/false,
                              /*Alone=*/true};
  First.Records_.erase(First.Records_.begin(), Middle);
  State.Waiting_.push_front(std::move(FirstHalf));
}

/// Adds the result of an append that ends with the batch.
void finish(Appender &State, const Appender::BatchEntry &Entry,
            AppendOutcome Outcome, std::vector<AppendResult> &Finished) {
  if (!Entry.Last_)
    return;
  AppendResult Result{Entry.Token_, std::move(Outcome), {}};
  auto Rejected = State.RejectedKeys_.find(Entry.Token_);
  if (Rejected != State.RejectedKeys_.end()) {
    Result.RejectedKeys_ = std::move(Rejected->second);
    State.RejectedKeys_.erase(Rejected);
    if (Result.Outcome_.Status_ == AppendStatus::Appended)
      Result.Outcome_.Status_ = AppendStatus::Rejected;
  }
  Finished.push_back(std::move(Result));
}

} // namespace

const char *name(AppendStatus Status) {
  switch (Status) {
  case AppendStatus::Appended:
    return "done";
  case AppendStatus::NotAppended:
    return "not done";
  case AppendStatus::Unknown:
    return "unknown";
  case AppendStatus::Fenced:
    return "fenced";
  case AppendStatus::OutOfSequence:
    return "out of sequence";
  case AppendStatus::Rejected:
    return "rejected";
  }
  return "unknown";
}

bool isStorable(const AppendPolicy &Policy, const KeyedRecord &Record) {
  constexpr std::size_t MaxKeyBytes = 255;
  return Record.Key_.size() <= MaxKeyBytes &&
         1 + Record.Key_.size() + Record.Value_.size() <=
             Policy.MaxRecordBytes_;
}

Appender makeAppender(const AppendPolicy &Policy, std::string Producer,
                      std::uint64_t Epoch) {
  Appender State;
  State.Policy_ = Policy;
  State.Producer_ = std::move(Producer);
  State.Epoch_ = Epoch;
  return State;
}

void enqueue(Appender &State, AppendToken Token,
             std::vector<KeyedRecord> Records) {
  State.Waiting_.push_back({Token, {}});
  std::size_t Bytes = 0;
  for (KeyedRecord &Record : Records) {
    if (!isStorable(State.Policy_, Record)) {
      State.RejectedKeys_[Token].push_back(Record.Key_);
      continue;
    }
    Bytes += sizeInCall(Record);
    if (Bytes > State.Policy_.MaxCallBytes_) {
      State.Waiting_.back().Last_ = false;
      State.Waiting_.push_back({Token, {}});
      Bytes = sizeInCall(Record);
    }
    State.Waiting_.back().Records_.push_back(std::move(Record));
  }
}

std::optional<AppendAttempt> nextAttempt(Appender &State, core::TimePoint Now) {
  if (State.CallInFlight_)
    return std::nullopt;
  if (Now < State.RetryAt_ || (!State.Batch_ && State.Waiting_.empty()))
    return std::nullopt;
  if (!State.Batch_)
    formBatch(State, Now);
  State.CallInFlight_ = true;
  State.CallSentAt_ = Now;
  return AppendAttempt{*State.Batch_, State.Attempts_++};
}

std::vector<AppendResult>
onOutcome(Appender &State, const AppendOutcome &Outcome, core::TimePoint Now) {
  State.CallInFlight_ = false;
  if (!State.Batch_)
    return {};
  std::vector<AppendResult> Finished;
  AppendOutcome Result = Outcome;
  auto FinishAll = [&] {
    for (const Appender::BatchEntry &Entry : State.BatchEntries_)
      finish(State, Entry, Result, Finished);
    clearBatch(State);
    State.Attempts_ = 0;
    State.UnfinishedSince_.reset();
    State.RetryAt_ = Now;
  };
  switch (Outcome.Status_) {
  case AppendStatus::Appended:
    ++State.NextSequence_;
    FinishAll();
    break;
  case AppendStatus::Fenced:
    FinishAll();
    break;
  case AppendStatus::OutOfSequence:
    // The store already has this sequence of this writer: the batch was
    // appended, and the store no longer keeps the call's outcome to repeat it.
    if (Outcome.ExpectedSequence_ == State.NextSequence_ + 1) {
      ++State.NextSequence_;
      Result.Status_ = AppendStatus::Appended;
    }
    FinishAll();
    break;
  case AppendStatus::Unknown:
    State.MayHaveTakenEffect_ = true;
    State.RetryAt_ = Now + State.Policy_.RetryBackoff_;
    break;
  case AppendStatus::NotAppended:
    State.RetryAt_ = Now + State.Policy_.RetryBackoff_;
    if (!State.MayHaveTakenEffect_)
      dissolveBatch(State);
    break;
  case AppendStatus::Rejected:
    State.RetryAt_ = Now;
    if (State.Batch_->Records_.size() > 1) {
      divideBatch(State);
      break;
    }
    for (const Appender::BatchEntry &Entry : State.BatchEntries_)
      if (Entry.Records_ > 0)
        State.RejectedKeys_[Entry.Token_].push_back(
            State.Batch_->Records_.front().Key_);
    FinishAll();
    break;
  }
  return Finished;
}

bool cancelWaiting(Appender &State, AppendToken Token) {
  auto It =
      std::find_if(State.Waiting_.begin(), State.Waiting_.end(),
                   [&](const auto &Entry) { return Entry.Token_ == Token; });
  if (It == State.Waiting_.end())
    return false;
  State.Waiting_.erase(It);
  if (State.Waiting_.empty() && !State.Batch_)
    State.UnfinishedSince_.reset();
  return true;
}

bool isWaiting(const Appender &State, AppendToken Token) {
  return std::any_of(State.Waiting_.begin(), State.Waiting_.end(),
                     [&](const auto &Entry) { return Entry.Token_ == Token; });
}

core::Duration unfinishedFor(const Appender &State, core::TimePoint Now) {
  return State.UnfinishedSince_ ? Now - *State.UnfinishedSince_
                                : core::Duration(0);
}

std::optional<core::TimePoint> nextAttemptAt(const Appender &State) {
  if (State.CallInFlight_ || (!State.Batch_ && State.Waiting_.empty()))
    return std::nullopt;
  return State.RetryAt_;
}

} // namespace nutmegwell::store
