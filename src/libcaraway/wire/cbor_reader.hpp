#pragma once

#include <QByteArray>
#include <QCborStreamReader>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace caraway::wire
{

/// Reads untrusted CBOR with a sticky error state, so that callers need not check after each read:
/// after the first value of an unexpected type or size, failed() is true and all reads return zero
/// or empty values. Lengths and counts are checked against their bounds before any allocation.
/// Chunked strings and arrays of indefinite length are rejected.
class cbor_reader
{
public:
    explicit cbor_reader(const QByteArray& bytes);

    bool failed() const
    {
        return failed_;
    }
    void fail()
    {
        failed_ = true;
    }

    std::uint64_t integer(std::uint64_t max_value = std::numeric_limits<std::uint64_t>::max());
    /// Reads an unsigned integer or a finite double; infinities and NaN make the reader fail.
    double number();
    std::string text(std::size_t max_bytes);
    std::string bytes(std::size_t max_bytes);
    bool is_null() const;
    /// Skips one value of any type, nested values included.
    void skip();
    /// Whether all values of the outermost level have been read.
    bool at_end() const;

    /// Enters an array and returns its length; fails if the length is above `max_length`.
    std::size_t begin_array(std::size_t max_length);
    /// Whether the innermost open array has more elements.
    bool has_next() const;
    /// Leaves the innermost open array. Unread elements are skipped: a newer version may have
    /// appended them.
    void end_array();

    /// Reads an array of at most `max_length` values, each with `read_one(cbor_reader&, T&)`.
    template <class T, class ReadOne>
    void read_list(std::vector<T>& values, std::size_t max_length, ReadOne read_one)
    {
        const std::size_t count = begin_array(max_length);
        for (std::size_t i = 0; i < count && !failed_; ++i)
        {
            read_one(*this, values.emplace_back());
        }
        end_array();
    }

private:
    std::string string(std::size_t max_bytes, QCborStreamReader::Type type);

    QCborStreamReader reader_;
    bool failed_ = false;
};

}  // namespace caraway::wire
