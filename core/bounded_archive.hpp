#pragma once

#include <algorithm>
#include <boost/leaf.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

namespace siskinpaddle {

/// Why binary input was rejected; reported as a LEAF error.
struct decode_error {
    std::string message;
};

/// Maximum size in bytes of binary input that is decoded.
inline constexpr std::size_t max_archive_bytes = 4U << 20U;

/// Cereal archive that checks container sizes against the remaining bytes. Cereal reads these sizes from the
/// input: without the check, eight hostile bytes make a vector resize itself to exabytes.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision> {
  public:
    explicit bounded_input_archive(std::string_view bytes)
        : cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>(this), m_bytes(bytes) {}

    /// Copies `size` bytes to `out`. Throws cereal::Exception when the input ends before that.
    void read_bytes(void* out, std::size_t size) {
        if (size > m_bytes.size()) {
            throw cereal::Exception("unexpected end of input");
        }
        std::copy_n(m_bytes.data(), size, static_cast<char*>(out));
        m_bytes.remove_prefix(size);
    }

    [[nodiscard]] std::size_t remaining_bytes() const noexcept { return m_bytes.size(); }

  private:
    std::string_view m_bytes;
};

/// Writes the format that `bounded_input_archive` reads. Numbers are stored in native byte order, since all
/// processes run on machines with the same byte order.
class bounded_output_archive
    : public cereal::OutputArchive<bounded_output_archive, cereal::AllowEmptyClassElision> {
  public:
    explicit bounded_output_archive(std::string& out)
        : cereal::OutputArchive<bounded_output_archive, cereal::AllowEmptyClassElision>(this), m_out(out) {}

    void write_bytes(const void* data, std::size_t size) {
        m_out.append(static_cast<const char*>(data), size);
    }

  private:
    std::string& m_out;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(bounded_output_archive& archive, const T& value) {
    archive.write_bytes(&value, sizeof(value));
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, T& value) {
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t byte = 0;
        archive.read_bytes(&byte, 1);
        value = byte != 0;
    } else {
        archive.read_bytes(&value, sizeof(value));
    }
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_input_archive& archive, cereal::NameValuePair<T>& pair) {
    archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_output_archive& archive, cereal::NameValuePair<T>& pair) {
    archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_output_archive& archive, cereal::SizeTag<T>& tag) {
    archive(static_cast<std::uint64_t>(tag.size));
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_input_archive& archive, cereal::SizeTag<T>& tag) {
    std::uint64_t size = 0;
    archive(size);
    if (size > archive.remaining_bytes()) {
        throw cereal::Exception("container size exceeds the remaining input");
    }
    tag.size = static_cast<cereal::size_type>(size);
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(bounded_output_archive& archive, const cereal::BinaryData<T>& data) {
    archive.write_bytes(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, cereal::BinaryData<T>& data) {
    archive.read_bytes(const_cast<void*>(static_cast<const void*>(data.data)),
                       static_cast<std::size_t>(data.size));
}

/// Returns the binary form of `value`.
template <typename T>
[[nodiscard]] std::string encode_archive(const T& value) {
    std::string bytes;
    bounded_output_archive archive(bytes);
    archive(value);
    return bytes;
}

/// Decodes the output of `encode_archive`. Fails with `decode_error` on damaged, oversized or trailing input.
/// Never throws; allocates at most one element per byte of the input.
template <typename T>
[[nodiscard]] boost::leaf::result<T> decode_archive(std::string_view bytes) {
    if (bytes.size() > max_archive_bytes) {
        return boost::leaf::new_error(decode_error{"input exceeds the size limit"});
    }
    try {
        T value;
        bounded_input_archive archive(bytes);
        archive(value);
        if (archive.remaining_bytes() != 0) {
            return boost::leaf::new_error(decode_error{"input has trailing bytes"});
        }
        return value;
    } catch (const std::exception& error) {
        return boost::leaf::new_error(decode_error{error.what()});
    }
}

} // namespace siskinpaddle

CEREAL_REGISTER_ARCHIVE(siskinpaddle::bounded_input_archive)
CEREAL_REGISTER_ARCHIVE(siskinpaddle::bounded_output_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(siskinpaddle::bounded_input_archive, siskinpaddle::bounded_output_archive)
