#pragma once

#include <boost/asio/buffer.hpp>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace caraway::http
{

/// Bytes of answers that the kernel hasn't taken yet. Large pieces are moved in and freed as soon
/// as they are taken.
class output_queue
{
public:
    /// Pieces that one write takes at most.
    static constexpr std::size_t max_pieces = 8;

    bool empty() const
    {
        return bytes_ == 0;
    }
    /// Bytes not taken yet.
    std::size_t bytes() const
    {
        return bytes_;
    }
    /// Bytes of memory that they take.
    std::size_t memory() const
    {
        return memory_;
    }

    void append(std::string_view text);
    void append(std::string&& text);
    /// The first bytes; unused entries are empty.
    std::array<boost::asio::const_buffer, max_pieces> first() const;
    /// Removes bytes from the front.
    void consume(std::size_t bytes);
    void clear();

private:
    std::vector<std::string> pieces_;
    /// Of the first piece.
    std::size_t taken_ = 0;
    std::size_t bytes_ = 0;
    std::size_t memory_ = 0;
};

}  // namespace caraway::http
