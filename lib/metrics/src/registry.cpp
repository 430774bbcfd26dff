#include "nutmegwell/metrics/registry.h"

#include <iomanip>
#include <sstream>

namespace nutmegwell::metrics {

namespace {

/// Returns NAME="VALUE",... and escapes quotes, backslashes and newlines in the
/// values.
std::string formatLabels(const Labels &Values) {
  std::string Text;
  for (const auto &Label : Values) {
    Text += (Text.empty() ? "" : ",") + Label.first + "=\"";
    for (char C : Label.second) {
      if (C == '\\' || C == '"')
        Text += '\\';
      Text += C == '\n' ? std::string("\\n") : std::string(1, C);
    }
    Text += '"';
  }
  return Text;
}

std::string inBraces(const std::string &Text) {
  return Text.empty() ? Text : "{" + Text + "}";
}

double toSeconds(core::Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

void renderHeader(std::ostream &Out, const std::string &Name,
                  const std::string &Help, const char *Type) {
  Out << "# HELP " << Name << ' ' << Help << "\n# TYPE " << Name << ' ' << Type
      << '\n';
}

void renderQuantiles(std::ostream &Out, const std::string &Name,
                     const std::string &FormattedLabels,
                     const QuantileSummary &Summary) {
  const std::string Prefix =
      FormattedLabels.empty() ? "" : FormattedLabels + ",";
  Out << Name << '{' << Prefix << "quantile=\"0.5\"} "
      << toSeconds(Summary.P50_) << '\n'
      << Name << '{' << Prefix << "quantile=\"0.99\"} "
      << toSeconds(Summary.P99_) << '\n'
      << Name << "_sum" << inBraces(FormattedLabels) << ' '
      << toSeconds(Summary.Sum_) << '\n'
      << Name << "_count" << inBraces(FormattedLabels) << ' ' << Summary.Count_
      << '\n';
}

} // namespace

template <typename T>
T &Registry::findOrCreate(Families<T> &All, const std::string &Name,
                          const std::string &Help, const Labels &Values) {
  std::string Text = formatLabels(Values);
  std::lock_guard<std::mutex> Lock(Mutex_);
  Family<T> &Found = All[Name];
  if (Found.Help_.empty())
    Found.Help_ = Help;
  if (!Values.empty() && !Found.Series_.count(Text) &&
      SeriesCount_ >= MaxSeries)
    Text = formatLabels({{"overflow", "true"}});
  std::unique_ptr<T> &Series = Found.Series_[Text];
  if (!Series) {
    Series = std::make_unique<T>();
    ++SeriesCount_;
  }
  return *Series;
}

Counter &Registry::counter(const std::string &Name, const std::string &Help,
                           const Labels &Values) {
  return findOrCreate(Counters_, Name, Help, Values);
}

Gauge &Registry::gauge(const std::string &Name, const std::string &Help,
                       const Labels &Values) {
  return findOrCreate(Gauges_, Name, Help, Values);
}

Quantiles &Registry::quantiles(const std::string &Name, const std::string &Help,
                               const Labels &Values) {
  return findOrCreate(Quantiles_, Name, Help, Values);
}

std::string Registry::render(core::TimePoint Now) const {
  std::ostringstream Out;
  // 15 digits preserve microseconds in sums of several days.
  Out << std::setprecision(15);
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (const auto &Family : Counters_) {
    renderHeader(Out, Family.first, Family.second.Help_, "counter");
    for (const auto &Series : Family.second.Series_)
      Out << Family.first << inBraces(Series.first) << ' '
          << Series.second->value() << '\n';
  }
  for (const auto &Family : Gauges_) {
    renderHeader(Out, Family.first, Family.second.Help_, "gauge");
    for (const auto &Series : Family.second.Series_)
      Out << Family.first << inBraces(Series.first) << ' '
          << Series.second->value() << '\n';
  }
  for (const auto &Family : Quantiles_) {
    renderHeader(Out, Family.first, Family.second.Help_, "summary");
    for (const auto &Series : Family.second.Series_)
      renderQuantiles(Out, Family.first, Series.first,
                      Series.second->summary(Now));
  }
  return Out.str();
}

} // namespace nutmegwell::metrics
