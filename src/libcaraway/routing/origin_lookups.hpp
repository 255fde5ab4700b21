#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/routing/stream_origin.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace caraway::routing
{

/// Questions to other routers about the origins of streams that wait for answers.
class origin_lookups
{
public:
    /// Receives the origin, or nothing if no router that was asked knows it.
    using callback = std::function<void(const std::optional<stream_origin>&)>;

    /// Another router, and the stream to ask it for.
    struct question
    {
        endpoint router;
        stream_key key{};
    };

    /// Begins a lookup that ends with the first router that knows the origin, when all have twice
    /// said that they don't, or at `give_up_at`. Routers are told shortly after a stream begins, so
    /// a caller that resumes it at once may come before the word.
    void start(stream_key key, std::vector<endpoint> asked, base::time_point give_up_at,
               callback done);
    /// A router told the origin.
    void record_known(stream_key key, const stream_origin& origin);
    /// A router doesn't know the origin.
    void record_unknown(stream_key key, const endpoint& router);
    /// Ends the lookups whose time is over.
    void expire(base::time_point now);
    /// The questions that are not answered yet, or are to be asked for the second time.
    std::vector<question> take_due();
    bool empty() const
    {
        return lookups_.empty();
    }

private:
    struct lookup
    {
        std::vector<endpoint> asked;
        std::vector<endpoint> unanswered;
        bool asked_twice = false;
        base::time_point give_up_at{};
        std::vector<callback> waiting;
    };

    /// Removes the lookup before it calls back, as a callback may start another one.
    void finish(std::map<stream_key, lookup>::iterator ended,
                const std::optional<stream_origin>& origin);

    std::map<stream_key, lookup> lookups_;
};

}  // namespace caraway::routing
