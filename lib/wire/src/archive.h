#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

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
/// buffer ends too early, when the length of a container exceeds the number of
/// remaining bytes, and when the elements of all containers take more memory
/// beyond their encoded size than allowed. Elements are allocated as they are
/// read, so that a forged length does not cause a large allocation.
class InputArchive
    : public cereal::InputArchive<InputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit InputArchive(std::string_view Bytes,
                        std::size_t MaxExcess = SIZE_MAX)
      : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(
            this),
        Remaining_(Bytes), ExcessLeft_(MaxExcess) {}

  void loadBinary(void *Data, std::streamsize Size) {
    if (static_cast<std::size_t>(Size) > Remaining_.size())
      throw std::runtime_error("truncated");
    std::memcpy(Data, Remaining_.data(), Size);
    Remaining_.remove_prefix(Size);
  }

  /// Counts an element that takes \p Size bytes of memory, without what it
  /// points to, and was encoded in \p EncodedSize bytes.
  void countElement(std::size_t Size, std::size_t EncodedSize) {
    const std::size_t Excess = Size > EncodedSize ? Size - EncodedSize : 0;
    if (Excess > ExcessLeft_)
      throw std::runtime_error("the elements take too much memory");
    ExcessLeft_ -= Excess;
  }

  /// Returns the number of bytes that are not read yet.
  std::size_t remaining() const { return Remaining_.size(); }

private:
  std::string_view Remaining_;
  std::size_t ExcessLeft_;
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

template <typename T>
std::enable_if_t<!std::is_arithmetic<T>::value>
CEREAL_LOAD_FUNCTION_NAME(InputArchive &Archive, std::vector<T> &Values) {
  cereal::size_type Size = 0;
  Archive(cereal::make_size_tag(Size));
  Values.clear();
  for (cereal::size_type I = 0; I < Size; ++I) {
    const std::size_t Before = Archive.remaining();
    Values.emplace_back();
    Archive(Values.back());
    Archive.countElement(sizeof(T), Before - Archive.remaining());
  }
}

/// Memory of a node of a map beyond its key and its value.
inline constexpr std::size_t MapNodeSize = 32;

template <typename Key, typename T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &Archive,
                               std::map<Key, T> &Values) {
  cereal::size_type Size = 0;
  Archive(cereal::make_size_tag(Size));
  Values.clear();
  for (cereal::size_type I = 0; I < Size; ++I) {
    const std::size_t Before = Archive.remaining();
    Key Name{};
    T Value{};
    Archive(cereal::make_map_item(Name, Value));
    Archive.countElement(MapNodeSize + sizeof(Name) + sizeof(Value),
                         Before - Archive.remaining());
    Values.emplace_hint(Values.end(), std::move(Name), std::move(Value));
  }
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
