#pragma once

#include "nutmegwell/aio/httpserver.h"
#include "nutmegwell/site/agent.h"
#include "nutmegwell/site/entry.h"
#include "nutmegwell/store/recordstore.h"
#include <functional>
#include <string>
#include <variant>

namespace nutmegwell::sitehost {

/// Calls and codecs of the platform that an entry host uses; tests replace them
/// with mocks. The control thread calls Codec_, the traffic thread all others.
struct EntryPorts {
  store::RecordStore Store_;
  site::EntryCodec Codec_;
  /// Returns an upper bound of the memory in bytes that a request takes while
  /// it is decoded and handled.
  std::function<std::size_t(const net::HttpRequest &)> MemoryOf_;
  /// Returns the caller's request, or an error response when it cannot be
  /// decoded.
  std::function<std::variant<site::CallerRequest, net::HttpResponse>(
      const net::HttpRequest &)>
      DecodeRequest_;
  std::function<net::HttpResponse(const site::CallerReply &)> EncodeReply_;
  /// Sends a request to the approval service; the handler is called within the
  /// request's timeout. Empty when approval-address is not set.
  std::function<void(
      cell::ApprovalRequest,
      std::function<void(absl::StatusOr<cell::ApprovalResponse>)>)>
      Approve_;
};

/// A worker's message about itself: its announcement, its id when it leaves, or
/// the error of a message that cannot be decoded.
using WorkerNotice =
    std::variant<site::WorkerAnnouncement, std::string, absl::Status>;

/// Calls and codecs of the platform that an agent uses, all on the traffic
/// thread.
struct AgentPorts {
  std::function<void(site::WorkerCall,
                     std::function<void(site::WorkerResponse)>)>
      CallWorker_;
  /// Returns an upper bound of the memory in bytes that a notice takes while it
  /// is decoded and handled.
  std::function<std::size_t(const net::HttpRequest &)> MemoryOf_;
  std::function<WorkerNotice(const net::HttpRequest &)> DecodeNotice_;
  /// Returns the response that acknowledges or rejects a notice.
  std::function<net::HttpResponse(const WorkerNotice &)> EncodeNoticeResponse_;
};

} // namespace nutmegwell::sitehost
