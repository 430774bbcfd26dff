#include "nutmegwell/wire/json.h"

#include <cxxtools/decomposer.h>
#include <cxxtools/json.h>
#include <cxxtools/jsonformatter.h>
#include <cxxtools/utf8codec.h>
#include <sstream>

namespace nutmegwell::wire {

namespace {

constexpr int MaxDepth = 32;

/// Returns false when brackets outside of strings nest deeper than MaxDepth.
/// The parser frees its tree recursively, so deep nesting would exhaust the
/// stack.
bool isDepthWithinLimit(const std::string &Text) {
  int Depth = 0;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    char C = Text[I];
    if (InString) {
      if (C == '\\')
        ++I;
      else if (C == '"')
        InString = false;
      continue;
    }
    if (C == '"')
      InString = true;
    else if (C == '{' || C == '[')
      ++Depth;
    else if (C == '}' || C == ']')
      --Depth;
    if (Depth > MaxDepth)
      return false;
  }
  return true;
}

absl::Status invalid(const std::string &Message) {
  return core::makeError(absl::StatusCode::kInvalidArgument, "parse JSON", "",
                         Message);
}

/// Reads a std::string as UTF-8, where cxxtools::JsonFormatter reads it as
/// Latin-1.
class Utf8Formatter : public cxxtools::JsonFormatter {
public:
  void addValueStdString(const std::string &Name, const std::string &Type,
                         const std::string &Value) override {
    cxxtools::String Text;
    try {
      Text = cxxtools::Utf8Codec::decode(Value);
    } catch (const std::exception &) {
      // Bytes that are not valid UTF-8 are read as Latin-1, so that a message
      // that quotes malformed input can still be sent.
      Text = cxxtools::String::widen(Value);
    }
    addValueString(Name, Type, Text);
  }
};

} // namespace

absl::StatusOr<cxxtools::SerializationInfo> parseJson(const std::string &Text) {
  if (!isDepthWithinLimit(Text))
    return invalid("more than 32 levels of nesting");
  try {
    std::istringstream In(Text);
    cxxtools::SerializationInfo Value;
    In >> cxxtools::Json(Value);
    In >> std::ws;
    if (!In.eof())
      return invalid("text after the end of the value");
    return Value;
  } catch (const std::exception &Error) {
    return invalid(Error.what());
  }
}

std::string formatJson(const cxxtools::SerializationInfo &Value,
                       bool Beautify) {
  std::ostringstream Out;
  Utf8Formatter Formatter;
  Formatter.beautify(Beautify);
  Formatter.begin(Out);
  cxxtools::Decomposer<cxxtools::SerializationInfo> Decomposer;
  Decomposer.begin(Value);
  Decomposer.format(Formatter);
  Formatter.finish();
  return Out.str();
}

std::string textMember(const cxxtools::SerializationInfo &Object,
                       const std::string &Name, const std::string &Default) {
  const auto *Member = Object.findMember(Name);
  if (!Member || Member->category() != cxxtools::SerializationInfo::Value)
    return Default;
  cxxtools::String Text;
  Member->getValue(Text);
  return cxxtools::Utf8Codec::encode(Text);
}

bool numberMember(const cxxtools::SerializationInfo &Object,
                  const std::string &Name, std::int64_t Min, std::int64_t Max,
                  std::int64_t &Value) {
  const auto *Member = Object.findMember(Name);
  if (!Member)
    return true;
  if (Member->category() != cxxtools::SerializationInfo::Value)
    return false;
  std::string Text;
  Member->getValue(Text);
  try {
    std::size_t Used = 0;
    long long Number = std::stoll(Text, &Used);
    if (Used != Text.size() || Number < Min || Number > Max)
      return false;
    Value = Number;
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

bool boolMember(const cxxtools::SerializationInfo &Object,
                const std::string &Name, bool &Value) {
  const auto *Member = Object.findMember(Name);
  if (!Member)
    return true;
  // The parser stores a value as text and its JSON type as the type name.
  if (!Member->isBool() && Member->typeName() != "bool")
    return false;
  Member->getValue(Value);
  return true;
}

} // namespace nutmegwell::wire
