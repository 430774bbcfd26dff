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
              "the encoding uses the little-endian byte order of the host");

/// cereal archive that appends to a string.
class OutputArchive
    : public cereal::OutputArchive<OutputArchive,
                                   cereal::AllowEmptyClassElision> {
public:
  explicit OutputArchive(std::string &Bytes)
      : cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>(
            this),
        Bytes_(Bytes) {}

  void saveBinary(const void *Data, std::streamsize Size) {
    Bytes_.append(static_cast<const char *>(Data), Size);
  }

private:
  std::string &Bytes_;
};

/// cereal archive that reads from a buffer. Throws std::runtime_error when the
/// buffer ends too early, and when the length of a container exceeds the number
/// of remaining bytes, so that a forged length does not cause a large
/// allocation.
class InputArchive
    : public cereal::InputArchive<InputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit InputArchive(std::string_view Bytes)
      : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(
            this),
        Remaining_(Bytes) {}

  void loadBinary(void *Data, std::streamsize Size) {
    if (static_cast<std::size_t>(Size) > Remaining_.size())
      throw std::runtime_error("truncated");
    std::memcpy(Data, Remaining_.data(), Size);
    Remaining_.remove_prefix(Size);
  }

  /// Returns the number of bytes that are not read yet.
  std::size_t remaining() const { return Remaining_.size(); }

private:
  std::string_view Remaining_;
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
  if (Size > Archive.remaining())
    throw std::runtime_error(
        "the length of a container exceeds the remaining bytes");
  Tag.size = Size;
}

template <class Archive, class T>
std::enable_if_t<std::is_same<Archive, OutputArchive>::value ||
                 std::is_same<Archive, InputArchive>::value>
CEREAL_SERIALIZE_FUNCTION_NAME(Archive &Bytes, cereal::NameValuePair<T> &V) {
  Bytes(V.value);
}

} // namespace nutmegwell::wire

CEREAL_REGISTER_ARCHIVE(nutmegwell::wire::OutputArchive)
CEREAL_REGISTER_ARCHIVE(nutmegwell::wire::InputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(nutmegwell::wire::InputArchive,
                            nutmegwell::wire::OutputArchive)
