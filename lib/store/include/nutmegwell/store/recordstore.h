#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/core/time.h"
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace nutmegwell::store {

/// The keyed streams of a site.
enum class Stream : std::uint8_t {
  /// Records that the operator publishes; this system only reads them.
  Operator,
  /// The system's own durable records.
  Cell
};

struct KeyedRecord {
  core::Offset Offset_ = 0;
  std::string Key_;
  /// Empty for a deleted key.
  std::string Value_;
};

/// Records of a stream from the requested offset on.
struct ReadPage {
  std::vector<KeyedRecord> Records_;
  /// Offset after the stream's last record.
  core::Offset EndOffset_ = 0;
};

/// A page of the newest record of each key, in the order of keys.
struct NewestRecordsPage {
  std::vector<KeyedRecord> Records_;
  bool HasMore_ = false;
  core::Offset EndOffset_ = 0;
};

/// One append of keyed records to the cell's stream. A repeat with the same
/// producer, epoch and sequence takes effect once.
struct AppendRequest {
  std::string Producer_;
  std::uint64_t Epoch_ = 0;
  std::uint64_t Sequence_ = 0;
  std::vector<KeyedRecord> Records_;
};

enum class AppendStatus : std::uint8_t {
  Appended,
  /// This call certainly appended nothing.
  NotAppended,
  /// The store may have appended the records, or may still do so.
  Unknown,
  /// The store has seen a higher epoch of the producer.
  Fenced,
  /// The store expects another sequence.
  OutOfSequence,
  /// The store takes the call neither now nor later: some record, or all of
  /// them together, have a form or size that it does not accept.
  Rejected
};

const char *name(AppendStatus Status);

struct AppendOutcome {
  AppendStatus Status_ = AppendStatus::Unknown;
  /// With Appended: the offset of the first record.
  core::Offset FirstOffset_ = 0;
  /// With OutOfSequence: the sequence that the store expects.
  std::uint64_t ExpectedSequence_ = 0;
  /// Why the records were not appended, for logs.
  std::string Reason_;
};

/// Asynchronous calls to the durable store; tests supply a mock. The handlers
/// run later, on the traffic thread. Those of progress are called while bytes
/// of a response arrive, and the timeout starts anew then.
struct RecordStore {
  std::function<void(AppendRequest, core::Duration Timeout,
                     std::function<void(AppendOutcome)>)>
      Append_;
  /// Reads from \p From on; waits up to \p Wait for a first record. Fails with
  /// OutOfRange when the store no longer retains the records from \p From on.
  std::function<void(Stream, core::Offset From, core::Duration Wait,
                     core::Duration Timeout,
                     std::function<void(absl::StatusOr<ReadPage>)>,
                     std::function<void()> OnProgress)>
      Read_;
  /// Returns the newest records of the keys after \p After.
  std::function<void(Stream, std::string After, core::Duration Timeout,
                     std::function<void(absl::StatusOr<NewestRecordsPage>)>,
                     std::function<void()> OnProgress)>
      ReadNewest_;
};

} // namespace nutmegwell::store
