#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>

namespace nutmegwell::wire {

static_assert(__BYTE_ORDER__ == __ORDER_LITTLE_ENDIAN__,
              "the encoding is the memory order of little-endian hosts");

/// cereal archive that appends to a string.
class OutputArchive
    : public cereal::OutputArchive<OutputArchive,
                                   cereal::AllowEmptyClassElision> {
public:
  explicit OutputArchive(std::string &Target)
      : cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>(
            this),
        Target_(Target) {}

  void saveBinary(const void *Data, std::streamsize Size) {
    Target_.append(static_cast<const char *>(Data), Size);
  }

private:
  std::string &Target_;
};

/// cereal archive that reads from a buffer. Throws std::runtime_error at the
/// buffer's end and for a container that claims more elements than bytes are
/// left, so that a hostile length allocates nothing.
class InputArchive
    : public cereal::InputArchive<InputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit InputArchive(std::string_view Source)
      : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(
            this),
        Source_(Source) {}

  void loadBinary(void *Data, std::streamsize Size) {
    if (static_cast<std::size_t>(Size) > Source_.size())
      throw std::runtime_error("truncated");
    std::memcpy(Data, Source_.data(), Size);
    Source_.remove_prefix(Size);
  }

  std::size_t left() const { return Source_.size(); }

private:
  std::string_view Source_;
};

template <typename T>
std::enable_if_t<std::is_arithmetic<T>::value>
CEREAL_SAVE_FUNCTION_NAME(OutputArchive &Archive, const T &Value) {
  Archive.saveBinary(&Value, sizeof(Value));
}

template <typename T>
std::enable_if_t<std::is_arithmetic<T>::value>
CEREAL_LOAD_FUNCTION_NAME(InputArchive &Archive, T &Value) {
  if constexpr (std::is_same<T, bool>::value) {
    unsigned char Byte = 0;
    Archive.loadBinary(&Byte, 1);
    Value = Byte != 0;
  } else {
    Archive.loadBinary(&Value, sizeof(Value));
  }
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &Archive,
                               const cereal::BinaryData<T> &Data) {
  Archive.saveBinary(Data.data, static_cast<std::streamsize>(Data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &Archive,
                               cereal::BinaryData<T> &Data) {
  Archive.loadBinary(Data.data, static_cast<std::streamsize>(Data.size));
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &Archive,
                               const cereal::SizeTag<T> &Tag) {
  Archive(static_cast<std::uint32_t>(Tag.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &Archive, cereal::SizeTag<T> &Tag) {
  std::uint32_t Size = 0;
  Archive(Size);
  if (Size > Archive.left())
    throw std::runtime_error("length beyond the end");
  Tag.size = Size;
}

template <class Archive, class T>
std::enable_if_t<std::is_same<Archive, OutputArchive>::value ||
                 std::is_same<Archive, InputArchive>::value>
CEREAL_SERIALIZE_FUNCTION_NAME(Archive &Target, cereal::NameValuePair<T> &V) {
  Target(V.value);
}

} // namespace nutmegwell::wire

CEREAL_REGISTER_ARCHIVE(nutmegwell::wire::OutputArchive)
CEREAL_REGISTER_ARCHIVE(nutmegwell::wire::InputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(nutmegwell::wire::InputArchive,
                            nutmegwell::wire::OutputArchive)
