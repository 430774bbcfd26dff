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
  /// What the operator publishes; read only.
  Operator,
  /// The system's own durable records.
  Cell
};

struct KeyedRecord {
  core::Offset Offset_ = 0;
  std::string Key_;
  /// Empty for a key that was dropped.
  std::string Value_;
};

/// Records from an offset on.
struct ReadPage {
  std::vector<KeyedRecord> Records_;
  /// Offset after the stream's last record.
  core::Offset EndOffset_ = 0;
};

/// The newest record of each key, in the order of keys.
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
  /// Certainly not done by this call.
  NotAppended,
  /// May have been done, or be done later.
  Unknown,
  /// A higher epoch of the producer exists.
  Fenced,
  /// The store expects another sequence.
  OutOfSequence
};

const char *name(AppendStatus Status);

struct AppendOutcome {
  AppendStatus Status_ = AppendStatus::Unknown;
  /// Offset of the first record, when done.
  core::Offset FirstOffset_ = 0;
  /// With OutOfSequence: the sequence that the store expects.
  std::uint64_t ExpectedSequence_ = 0;
  /// Why it is not done, for logs.
  std::string Reason_;
};

/// The durable store; a test fills it with a mock. The handlers are called
/// later, on the traffic thread.
struct RecordStore {
  std::function<void(AppendRequest, core::Duration Timeout,
                     std::function<void(AppendOutcome)>)>
      Append_;
  /// Waits up to \p Wait for a record at \p From or later. Fails with
  /// OutOfRange when the records from there on are not retained.
  std::function<void(Stream, core::Offset From, core::Duration Wait,
                     core::Duration Timeout,
                     std::function<void(absl::StatusOr<ReadPage>)>)>
      Read_;
  /// Returns the newest records of the keys after \p After.
  std::function<void(Stream, std::string After, core::Duration Timeout,
                     std::function<void(absl::StatusOr<NewestRecordsPage>)>)>
      ReadNewest_;
};

} // namespace nutmegwell::store
