#pragma once

#include "nutmegwell/entry/controlloop.h"
#include "nutmegwell/net/http.h"

namespace nutmegwell::entry {

/// Answers the HTTP paths below /v1/ for callers and operators. Runs on traffic
/// threads and reads and changes the control state through the control loop.
class HttpApi {
public:
  explicit HttpApi(ControlLoop &Control) : Control_(Control) {}

  /// Returns true when this API answers \p Path; other paths are looked up in
  /// the routes table.
  static bool handlesPath(const std::string &Path);

  net::HttpResponse handle(const net::HttpRequest &Request);

private:
  net::HttpResponse handleJobs(const net::HttpRequest &Request,
                               const std::vector<std::string> &Parts);
  net::HttpResponse submitJob(const net::HttpRequest &Request);
  net::HttpResponse cancelJob(const core::JobId &Id);
  net::HttpResponse showJob(const core::JobId &Id);
  net::HttpResponse waitJob(const net::HttpRequest &Request,
                            const core::JobId &Id);
  net::HttpResponse showExplanation(const core::JobId &Id);
  net::HttpResponse handleTables(const net::HttpRequest &Request,
                                 const std::vector<std::string> &Parts);
  net::HttpResponse showTable(const std::string &Name);
  net::HttpResponse publishTable(const net::HttpRequest &Request,
                                 const std::string &Name);
  net::HttpResponse handleDomains(const net::HttpRequest &Request,
                                  const std::vector<std::string> &Parts);
  net::HttpResponse showHealth();
  net::HttpResponse showStatus();

  ControlLoop &Control_;
};

} // namespace nutmegwell::entry
