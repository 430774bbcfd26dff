#include "output.h"

#include <algorithm>

namespace nutmegwell::client {

namespace {

constexpr std::size_t ColumnGap = 2;

/// Returns the indexes of the set bits, such as "0,1,5".
std::string formatAccelerators(std::uint64_t Bits) {
  std::string Text;
  for (unsigned I = 0; I < 64; ++I)
    if (Bits >> I & 1)
      Text += (Text.empty() ? "" : ",") + std::to_string(I);
  return Text;
}

} // namespace

std::string formatColumns(const std::vector<TextRow> &Rows) {
  std::vector<std::size_t> Widths;
  for (const TextRow &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  }
  std::string Text;
  for (const TextRow &Row : Rows) {
    for (std::size_t I = 0; I < Row.size(); ++I) {
      const std::string Value = Row[I].empty() ? "-" : Row[I];
      Text += Value;
      if (I + 1 < Row.size())
        Text.append(
            std::max(Widths[I], Value.size()) + ColumnGap - Value.size(), ' ');
    }
    Text += '\n';
  }
  return Text;
}

std::string formatValidationError(const model::ValidationError &Error) {
  return Error.Table_ + " row " + std::to_string(Error.Row_) + " field " +
         (Error.Field_.empty() ? "-" : Error.Field_) + ": " + Error.Message_ +
         "\n";
}

std::string formatJobText(const model::Job &Job) {
  std::string Text = "job " + core::toString(Job.Id_) + "\nstate " +
                     model::toString(Job.State_) + "\n";
  if (!Job.Reason_.empty())
    Text += "reason " + Job.Reason_ + "\n";
  if (Job.Attempt_ > 0)
    Text += "attempt " + std::to_string(Job.Attempt_) + "\n";
  if (!Job.Domain_.empty())
    Text += "domain " + Job.Domain_ + "\n";
  for (const model::TaskPlacement &Task : Job.Placement_)
    Text += "task on " + Task.Worker_ + " accelerators " +
            formatAccelerators(Task.Accelerators_) + "\n";
  return Text;
}

} // namespace nutmegwell::client
