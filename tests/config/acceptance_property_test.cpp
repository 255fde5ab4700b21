#include "fake_platform.hpp"
#include "sample.hpp"

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include <array>
#include <map>
#include <optional>
#include <set>

using namespace caraway;
using namespace caraway::config;
using namespace caraway::config::test;

namespace
{

/// Several routers execute commands on one platform. A random number chooses every step: which
/// router advances, and whether its reply is lost, its write takes effect later, the platform is
/// unavailable, or the router crashes and its operator repeats the command.
class random_fleet
{
public:
    random_fleet()
    {
        options_.bootstrap.operators.emplace(
            base::operator_id("ana"),
            operator_account{base::operator_id("ana"), {key("ana")}, true, false});
        for (int i = 0; i < document_count; ++i)
        {
            documents_.push_back(
                made(with(sample_json(i + 2), {"upstreams", "runner-1", "slots"}, 1 + i % 2)));
        }
    }

    void move(std::uint32_t choice)
    {
        router& actor = routers_[choice % routers_.size()];
        choice /= static_cast<std::uint32_t>(routers_.size());
        if (!actor.machine)
        {
            start(actor, choice);
            return;
        }
        step(actor, choice % 16);
        check();
    }

    std::size_t version() const
    {
        return checked_log_.size();
    }

private:
    static constexpr int document_count = 6;

    struct router
    {
        std::optional<acceptance> machine;
        std::optional<acceptance_step> next;
        std::optional<command> interrupted;
        std::optional<command> running;
    };

    command random_command(std::uint32_t choice)
    {
        const std::array operators{"ana", "bela", "chitra", "dipu"};
        const document& proposed = documents_[choice % document_count];
        const base::change_id id("c" + std::to_string(choice / 7 % 8));
        const base::config_version base_version = platform_.head().version;
        const sha256_hex key_hash = key(operators[choice / 31 % operators.size()]);
        switch (choice / 127 % 5)
        {
        case 0:
        case 1:
            return {key("ana"), "t", propose_command{id, base_version, proposed, ""}};
        case 2:
            return {key_hash, "t", reject_command{id}};
        case 3:
            return {key_hash, "t", settle_command{id}};
        default:
            break;
        }
        const auto row = platform_.rows.find(change_key(id));
        const sha256_hex hash =
            row == platform_.rows.end() ? "" : parse_change(row->second.body).value().hash;
        return {key_hash, "t", approve_command{id, base_version, hash}};
    }

    void start(router& actor, std::uint32_t choice)
    {
        const bool is_repeat = actor.interrupted && choice % 2 == 0;
        actor.running = is_repeat ? actor.interrupted : random_command(choice);
        actor.interrupted.reset();
        actor.machine.emplace(*actor.running, options_);
        actor.next = actor.machine->begin();
    }

    void step(router& actor, std::uint32_t fault)
    {
        const platform_action action = *action_of(*actor.next);
        platform_reply reply{reply_status::lost, {}, {}};
        if (fault == 0 && is_write(action))
        {
            delayed_writes_.push_back(action);
        }
        else if (fault == 1)
        {
            platform_.apply(action);
        }
        else if (fault == 2)
        {
            reply.status = reply_status::unavailable;
        }
        else if (fault == 3)
        {
            crash(actor);
            return;
        }
        else if (fault == 4 && !delayed_writes_.empty())
        {
            platform_.apply(delayed_writes_.back());
            delayed_writes_.pop_back();
            return;
        }
        else
        {
            reply = platform_.apply(action);
        }
        actor.next = actor.machine->handle(reply);
        finish(actor);
    }

    void crash(router& actor)
    {
        actor.interrupted = actor.running;
        actor.machine.reset();
    }

    void finish(router& actor)
    {
        if (const auto* result = std::get_if<acceptance_result>(&*actor.next))
        {
            if (result->accepted_version)
            {
                reported_accepted_.emplace(result->change.id, *result->accepted_version);
            }
            actor.machine.reset();
        }
        else if (std::holds_alternative<base::error>(*actor.next))
        {
            crash(actor);
        }
    }

    /// Checks the invariants on the stored rows; called after every step.
    void check()
    {
        const auto log = platform_.log();
        RC_ASSERT(log.size() >= checked_log_.size());
        std::set<base::change_id> accepted;
        for (std::size_t i = 0; i < log.size(); ++i)
        {
            RC_ASSERT(static_cast<std::uint64_t>(log[i].version) == i + 1);
            RC_ASSERT(accepted.insert(log[i].change).second);
            const bool is_unchanged = i >= checked_log_.size() || checked_log_[i] == log[i];
            RC_ASSERT(is_unchanged);
            if (i >= checked_log_.size())
            {
                check_rules(log, i);
            }
        }
        const bool is_last = log.empty() || platform_.head().hash == log.back().hash;
        RC_ASSERT(is_last);
        RC_ASSERT(static_cast<std::uint64_t>(platform_.head().version) == log.size());
        for (const auto& [id, version] : reported_accepted_)
        {
            RC_ASSERT(log.at(static_cast<std::size_t>(version) - 1).change == id);
        }
        checked_log_ = log;
    }

    /// Recomputes from the stored rows whether enough other operators had approved the log entry.
    void check_rules(const std::vector<log_record>& log, std::size_t index)
    {
        const auto row =
            parse_change(platform_.rows.at(change_key(log[index].change)).body).value();
        RC_ASSERT((row.state == change_state::accepted));
        RC_ASSERT(static_cast<std::uint64_t>(row.base_version) == index);
        if (index == 0)
        {
            return;
        }
        const auto before = stored(log[index - 1].hash);
        const bool only_shares = before.json()["upstreams"] == stored(row.hash).json()["upstreams"];
        std::set<std::string> others;
        for (const approval& given : row.approvals)
        {
            RC_ASSERT(given.hash == row.hash && given.base_version == row.base_version);
            others.insert(given.approver.str());
        }
        others.erase(row.proposer.str());
        others.erase("dipu");
        RC_ASSERT(others.size() >= (only_shares ? 0U : 1U));
    }

    document stored(const sha256_hex& hash) const
    {
        return document::from_bytes(platform_.objects.at(object_name(hash)), hash).value();
    }

    fake_platform platform_;
    acceptance_options options_;
    std::vector<document> documents_;
    std::array<router, 3> routers_;
    /// Writes whose reply was lost and that take effect later or never.
    std::vector<platform_action> delayed_writes_;
    std::vector<log_record> checked_log_;
    std::map<base::change_id, base::config_version> reported_accepted_;
};

constexpr std::size_t schedule_length = 300;

}  // namespace

BOOST_AUTO_TEST_SUITE(acceptance_properties)

// Guards against versions that fork, revert or are accepted without approval, and against wrong
// results reported to operators. Sequence: random commands at three routers, interleaved at random,
// with crashes and lost, delayed and refused writes.
BOOST_AUTO_TEST_CASE(any_interleaving_with_any_faults_keeps_the_rules)
{
    std::size_t versions = 0;
    const bool holds =
        rc::check("acceptance under random faults",
                  [&versions]()
                  {
                      const auto choices = *rc::gen::container<std::vector<std::uint32_t>>(
                          schedule_length, rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
                      random_fleet fleet;
                      for (const std::uint32_t choice : choices)
                      {
                          fleet.move(choice);
                      }
                      versions = std::max(versions, fleet.version());
                  });
    BOOST_TEST(holds);
    BOOST_TEST_MESSAGE("longest history: " << versions << " versions");
    BOOST_TEST(versions > 1U);
}

BOOST_AUTO_TEST_SUITE_END()
