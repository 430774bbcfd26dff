#pragma once

#include "nutmegwell/aio/httpserver.h"
#include "nutmegwell/site/agent.h"
#include "nutmegwell/site/entry.h"
#include "nutmegwell/store/recordstore.h"
#include <functional>
#include <string>
#include <variant>

namespace nutmegwell::sitehost {

/// What an entry host needs of the platform's formats and calls; a test fills
/// it with mocks. All functions are called on the traffic thread, but for the
/// codec, which the control thread uses.
struct EntryPorts {
  store::RecordStore Store_;
  site::EntryCodec Codec_;
  /// Returns the caller's request, or the answer when it cannot be read.
  std::function<std::variant<site::CallerRequest, net::HttpResponse>(
      const net::HttpRequest &)>
      DecodeRequest_;
  std::function<net::HttpResponse(const site::CallerReply &)> EncodeReply_;
  /// Asks the approval service; the answer comes within the question's timeout.
  /// Empty where the settings name no such service.
  std::function<void(
      cell::ApprovalRequest,
      std::function<void(absl::StatusOr<cell::ApprovalResponse>)>)>
      Approve_;
};

/// A worker's message about itself: that it lives, that it ends, or neither;
/// the text says what is wrong then.
using WorkerNotice =
    std::variant<site::WorkerAnnouncement, std::string, absl::Status>;

/// What an agent needs of the platform's formats and calls.
struct AgentPorts {
  std::function<void(site::WorkerCall,
                     std::function<void(site::WorkerResponse)>)>
      CallWorker_;
  std::function<WorkerNotice(const net::HttpRequest &)> DecodeNotice_;
  /// Returns the answer to a notice.
  std::function<net::HttpResponse(const WorkerNotice &)> EncodeNoticeResponse_;
};

} // namespace nutmegwell::sitehost
