#include "libcaraway/http/output_queue.hpp"

#include <algorithm>
#include <utility>

namespace caraway::http
{

namespace
{

/// Bytes up to which a piece is extended; more are moved, not copied.
constexpr std::size_t max_joined_bytes = 16384;

}  // namespace

void output_queue::append(std::string_view text)
{
    if (text.empty())
    {
        return;
    }
    if (pieces_.empty() || pieces_.back().size() + text.size() > max_joined_bytes)
    {
        append(std::string(text));
        return;
    }
    auto& last = pieces_.back();
    memory_ -= last.capacity();
    last += text;
    memory_ += last.capacity();
    bytes_ += text.size();
}

void output_queue::append(std::string&& text)
{
    if (text.empty())
    {
        return;
    }
    bytes_ += text.size();
    memory_ += text.capacity();
    pieces_.push_back(std::move(text));
}

std::array<boost::asio::const_buffer, output_queue::max_pieces> output_queue::first() const
{
    std::array<boost::asio::const_buffer, max_pieces> buffers;
    const auto count = std::min(pieces_.size(), max_pieces);
    for (std::size_t piece = 0; piece < count; ++piece)
    {
        buffers[piece] = boost::asio::buffer(pieces_[piece]);
    }
    buffers[0] += taken_;
    return buffers;
}

void output_queue::consume(std::size_t bytes)
{
    bytes_ -= bytes;
    taken_ += bytes;
    auto piece = pieces_.begin();
    while (piece != pieces_.end() && taken_ >= piece->size())
    {
        taken_ -= piece->size();
        memory_ -= piece->capacity();
        ++piece;
    }
    pieces_.erase(pieces_.begin(), piece);
}

void output_queue::clear()
{
    std::vector<std::string>().swap(pieces_);
    taken_ = 0;
    bytes_ = 0;
    memory_ = 0;
}

}  // namespace caraway::http
