#pragma once

#include "archive.h"
#include "nutmegwell/jobs/spec.h"
#include <cstdint>
#include <stdexcept>
#include <vector>

/// Encoding of a job's steps that leaves out default values and writes numbers
/// with as few bytes as they need. A step takes no more bytes than in a
/// caller's request, which leaves out the same values.
namespace nutmegwell::wire {

/// Serializes a number as groups of seven bits, the lowest first; the highest
/// bit of a byte announces another one. Throws std::runtime_error for a longer
/// number.
template <class A> void serializeVarint(A &Fields, std::uint64_t &Value) {
  constexpr unsigned GroupBits = 7;
  constexpr std::uint64_t More = 1u << GroupBits;
  if constexpr (A::is_saving::value) {
    std::uint64_t Rest = Value;
    for (; Rest >= More; Rest >>= GroupBits)
      Fields(static_cast<std::uint8_t>(Rest | More));
    Fields(static_cast<std::uint8_t>(Rest));
  } else {
    Value = 0;
    for (unsigned Shift = 0; Shift < 64; Shift += GroupBits) {
      std::uint8_t Byte = 0;
      Fields(Byte);
      Value |= (Byte & (More - 1)) << Shift;
      if (Byte < More)
        return;
    }
    throw std::runtime_error("a number is too long");
  }
}

template <class A, class Number>
void serializeNumber(A &Fields, Number &Value) {
  auto Raw = static_cast<std::uint64_t>(Value);
  serializeVarint(Fields, Raw);
  if constexpr (A::is_loading::value)
    Value = static_cast<Number>(Raw);
}

template <class A> void serializeNumber(A &Fields, core::Duration &Value) {
  std::int64_t Count = Value.count();
  serializeNumber(Fields, Count);
  if constexpr (A::is_loading::value)
    Value = core::Duration(Count);
}

/// Serializes the length of a text or list. Throws std::runtime_error when the
/// record has no room for it.
template <class A> void serializeSize(A &Fields, std::uint64_t &Size) {
  serializeVarint(Fields, Size);
  if constexpr (A::is_loading::value)
    if (Size > Fields.remaining())
      throw std::runtime_error("a length exceeds the remaining bytes");
}

template <class A> void serializeText(A &Fields, std::string &Value) {
  std::uint64_t Size = Value.size();
  serializeSize(Fields, Size);
  if constexpr (A::is_loading::value)
    Value.resize(Size);
  Fields(cereal::binary_data(Value.data(), Value.size()));
}

template <class A>
void serializeList(A &Fields, std::vector<std::uint32_t> &Values) {
  std::uint64_t Size = Values.size();
  serializeSize(Fields, Size);
  if constexpr (A::is_loading::value)
    Values.resize(Size);
  for (std::uint32_t &Value : Values)
    serializeNumber(Fields, Value);
}

/// Serializes the fields of a step that differ from their defaults. A bit mask
/// tells which these are, in the order of the calls.
template <class A> class StepFields {
public:
  StepFields(A &Fields, std::uint64_t Present)
      : Fields_(Fields), Present_(Present) {}

  void flag(bool &Value) {
    const bool Set = takeBit();
    if constexpr (A::is_loading::value)
      Value = Set;
  }
  template <class Number> void number(Number &Value) {
    if (takeBit())
      serializeNumber(Fields_, Value);
  }
  void text(std::string &Value) {
    if (takeBit())
      serializeText(Fields_, Value);
  }
  void list(std::vector<std::uint32_t> &Values) {
    if (takeBit())
      serializeList(Fields_, Values);
  }

private:
  bool takeBit() { return (Present_ >> Bit_++ & 1) != 0; }

  A &Fields_;
  std::uint64_t Present_;
  unsigned Bit_ = 0;
};

/// Finds the fields of a step that differ from their defaults.
class PresentFields {
public:
  void flag(bool Value) { add(Value); }
  template <class Number> void number(Number Value) { add(Value != Number()); }
  void text(const std::string &Value) { add(!Value.empty()); }
  void list(const std::vector<std::uint32_t> &Values) { add(!Values.empty()); }

  std::uint64_t mask() const { return Mask_; }

private:
  void add(bool Present) { Mask_ |= std::uint64_t(Present) << Bit_++; }

  std::uint64_t Mask_ = 0;
  unsigned Bit_ = 0;
};

/// Passes the fields of a step to \p Visitor. The order is part of the format.
/// Most steps need few of the later fields, whose bits then take no byte.
template <class Visitor>
void visitStep(Visitor &Visit, jobs::StepSpec &Step,
               std::uint32_t &FurtherTasks, std::uint64_t &MaxUnavailable) {
  Visit.number(FurtherTasks);
  Visit.number(Step.PerTask_.Cpu_);
  Visit.list(Step.DependsOn_);
  Visit.number(Step.Estimate_);
  Visit.number(Step.PerTask_.MemoryMb_);
  Visit.number(Step.PerTask_.Accelerators_);
  Visit.flag(Step.Gang_);
  Visit.flag(Step.Checkpoints_);
  Visit.flag(Step.SameRack_);
  Visit.flag(Step.Speculative_);
  Visit.flag(Step.LongRunning_);
  Visit.flag(Step.BestEffort_);
  Visit.text(Step.RequiredLabel_);
  Visit.text(Step.DataRack_);
  Visit.number(Step.SpreadLimit_);
  Visit.text(Step.Image_);
  Visit.number(Step.TargetLatency_);
  Visit.number(MaxUnavailable);
}

template <class A> void serializeStep(A &Fields, jobs::StepSpec &Step) {
  // One task and no limit are the defaults, which become 0.
  std::uint32_t FurtherTasks = Step.Count_ - 1;
  std::uint64_t MaxUnavailable =
      Step.MaxUnavailable_ ? std::uint64_t(*Step.MaxUnavailable_) + 1 : 0;
  PresentFields Present;
  visitStep(Present, Step, FurtherTasks, MaxUnavailable);
  std::uint64_t Mask = Present.mask();
  serializeVarint(Fields, Mask);
  StepFields<A> Visitor(Fields, Mask);
  visitStep(Visitor, Step, FurtherTasks, MaxUnavailable);
  if constexpr (A::is_loading::value) {
    Step.Count_ = FurtherTasks + 1;
    if (MaxUnavailable > 0)
      Step.MaxUnavailable_ = static_cast<std::uint32_t>(MaxUnavailable - 1);
  }
}

template <class A>
void serializeSteps(A &Fields, std::vector<jobs::StepSpec> &Steps) {
  std::uint64_t Size = Steps.size();
  serializeSize(Fields, Size);
  if constexpr (A::is_loading::value)
    Steps.resize(Size);
  for (jobs::StepSpec &Step : Steps)
    serializeStep(Fields, Step);
}

} // namespace nutmegwell::wire
