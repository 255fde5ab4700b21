#include "fake_platform.hpp"
#include "sample.hpp"

#include "libcaraway/config/acceptance.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace caraway;
using namespace caraway::config;
using namespace caraway::config::test;
using base::errc;

namespace
{

constexpr base::config_version v0{0};
constexpr base::config_version v1{1};
constexpr base::config_version v2{2};

command propose(const std::string& operator_name, const std::string& id,
                base::config_version base_version, const QJsonObject& json)
{
    return {key(operator_name), "t",
            propose_command{base::change_id(id), base_version, made(json), ""}};
}

command approve(const std::string& operator_name, const std::string& id,
                base::config_version base_version, const QJsonObject& json)
{
    return {key(operator_name), "t",
            approve_command{base::change_id(id), base_version, made(json).hash()}};
}

command reject(const std::string& operator_name, const std::string& id)
{
    return {key(operator_name), "t", reject_command{base::change_id(id)}};
}

/// Changes that require none, one and two approvals.
const QJsonObject share_2 = sample_json(2);
const QJsonObject with_slots = with(sample_json(), {"upstreams", "runner-1", "slots"}, 4);
const QJsonObject without_dipu =
    with(sample_json(), {"operators", "dipu"}, account("dipu", true, true));

/// Bootstrap operators, as from the settings.
acceptance_options options()
{
    acceptance_options made;
    made.bootstrap.operators.emplace(
        base::operator_id("root"),
        operator_account{base::operator_id("root"), {key("root")}, true, false});
    return made;
}

using fault = std::function<platform_reply(fake_platform&, const platform_action&)>;

const fault lost = [](fake_platform& platform, const platform_action& action)
{
    const platform_reply reply = platform.apply(action);
    return reply.status == reply_status::conflict ? reply
                                                  : platform_reply{reply_status::lost, {}, {}};
};
const fault lost_without_effect = [](fake_platform&, const platform_action&)
{
    return platform_reply{reply_status::lost, {}, {}};
};
const fault unavailable = [](fake_platform&, const platform_action&)
{
    return platform_reply{reply_status::unavailable, {}, {}};
};

/// Runs a command to its end; at step `fault_step` (from 0, -1 for none) the fault replaces the
/// platform's reply.
acceptance_step run(fake_platform& platform, const command& request, int fault_step = -1,
                    const fault& injected_fault = lost)
{
    acceptance machine(request, options());
    acceptance_step step = machine.begin();
    for (int i = 0; action_of(step) != nullptr; ++i)
    {
        const platform_action action = *action_of(step);
        step = machine.handle(i == fault_step ? injected_fault(platform, action)
                                              : platform.apply(action));
    }
    return step;
}

errc error_of(const acceptance_step& step)
{
    BOOST_TEST_REQUIRE(std::holds_alternative<base::error>(step));
    return std::get<base::error>(step).code;
}

acceptance_result result_of(const acceptance_step& step)
{
    if (const auto* failure = std::get_if<base::error>(&step))
    {
        BOOST_FAIL(failure->message);
    }
    return std::get<acceptance_result>(step);
}

/// A platform on which the sample is accepted as version 1.
fake_platform platform_with_sample()
{
    fake_platform platform;
    const auto first = result_of(run(platform, propose("root", "first", v0, sample_json())));
    BOOST_TEST_REQUIRE((first.accepted_version == v1));
    return platform;
}

/// Explores every interleaving of the steps of two commands.
class race
{
public:
    using end_check = std::function<void(const fake_platform&, const acceptance_step& a,
                                         const acceptance_step& b)>;

    explicit race(end_check check) : check_(std::move(check)) {}

    void run(const fake_platform& platform, const command& a, const command& b)
    {
        explore(platform, {start(a), start(b)});
    }

    std::size_t interleavings() const
    {
        return interleavings_;
    }

private:
    struct participant
    {
        acceptance machine;
        acceptance_step next;
    };

    static participant start(const command& request)
    {
        acceptance machine(request, options());
        acceptance_step next = machine.begin();
        return {std::move(machine), std::move(next)};
    }

    void explore(const fake_platform& platform, const std::vector<participant>& participants)
    {
        bool has_advanced = false;
        for (std::size_t i = 0; i < participants.size(); ++i)
        {
            if (const platform_action* action = action_of(participants[i].next))
            {
                fake_platform changed = platform;
                std::vector<participant> advanced = participants;
                advanced[i].next = advanced[i].machine.handle(changed.apply(*action));
                explore(changed, advanced);
                has_advanced = true;
            }
        }
        if (!has_advanced)
        {
            ++interleavings_;
            check_(platform, participants[0].next, participants[1].next);
        }
    }

    end_check check_;
    std::size_t interleavings_ = 0;
};

}  // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(caraway::base::errc)

BOOST_AUTO_TEST_SUITE(acceptance_of_changes)

// Guards against a change in force without the required approvals by other operators.
BOOST_AUTO_TEST_CASE(the_rules_hold_against_who_skips_repeats_or_approves_their_own)
{
    fake_platform platform = platform_with_sample();
    const auto proposed = result_of(run(platform, propose("ana", "c", v1, without_dipu)));
    BOOST_TEST(proposed.required == 2U);
    BOOST_TEST(!proposed.accepted_version);
    BOOST_TEST(error_of(run(platform, approve("ana", "c", v1, without_dipu))) ==
               errc::permission_denied);
    BOOST_TEST(error_of(run(platform, approve("dipu", "c", v1, without_dipu))) ==
               errc::permission_denied);
    BOOST_TEST(error_of(run(platform, approve("stranger", "c", v1, without_dipu))) ==
               errc::unauthenticated);
    BOOST_TEST(result_of(run(platform, approve("bela", "c", v1, without_dipu))).approvals == 1U);
    BOOST_TEST(!result_of(run(platform, approve("bela", "c", v1, without_dipu))).accepted_version);
    BOOST_TEST(!result_of(run(platform, {key("ana"), "t", settle_command{base::change_id("c")}}))
                    .accepted_version);
    BOOST_TEST((platform.head().version == v1));
    BOOST_TEST((
        result_of(run(platform, approve("chitra", "c", v1, without_dipu))).accepted_version == v2));
    BOOST_TEST(platform.log().back().approvers.size() == 2U);
}

// Guards against a change that relaxes the review rules and is then judged by the relaxed rules.
BOOST_AUTO_TEST_CASE(rules_and_operators_are_those_of_the_accepted_configuration)
{
    fake_platform platform = platform_with_sample();
    QJsonObject relaxed = sample_json();
    relaxed["review"] = QJsonArray{QJsonObject{{"part", "*"}, {"approvals", 0}}};
    relaxed = with(relaxed, {"operators", "dipu"}, account("dipu", true, true));
    BOOST_TEST(result_of(run(platform, propose("ana", "lax", v1, relaxed))).required == 2U);
    BOOST_TEST(error_of(run(platform, approve("dipu", "lax", v1, relaxed))) ==
               errc::permission_denied);
    BOOST_TEST(error_of(run(platform, propose("bela", "mine", v1, relaxed))) ==
               errc::permission_denied);
    BOOST_TEST(error_of(run(platform, propose("root", "late", v1, relaxed))) ==
               errc::unauthenticated);
}

// Guards against an approval that counts for another document or base. Sequence: Bela reviews a
// change, then another change is accepted; or she has reviewed an older document.
BOOST_AUTO_TEST_CASE(an_approval_is_for_one_document_on_one_base)
{
    fake_platform platform = platform_with_sample();
    result_of(run(platform, propose("ana", "c", v1, with_slots)));
    BOOST_TEST(error_of(run(platform, approve("bela", "c", v1, share_2))) == errc::conflict);
    BOOST_TEST(error_of(run(platform, approve("bela", "c", v2, with_slots))) == errc::conflict);
    BOOST_TEST((result_of(run(platform, propose("ana", "d", v1, share_2))).accepted_version == v2));
    BOOST_TEST(error_of(run(platform, approve("bela", "c", v1, with_slots))) == errc::conflict);
    BOOST_TEST(error_of(run(platform, propose("ana", "e", v1, with_slots))) == errc::conflict);
    // A forged row: approvals for another document or base, by the proposer, or by operators
    // without the permission don't count.
    change_record forged =
        parse_change(platform.rows[change_key(base::change_id("c"))].body).value();
    forged.id = base::change_id("f");
    forged.base_version = v2;
    forged.approvals = {{base::operator_id("bela"), forged.hash, v1, ""},
                        {base::operator_id("bela"), made(share_2).hash(), v2, ""},
                        {base::operator_id("ana"), forged.hash, v2, ""},
                        {base::operator_id("dipu"), forged.hash, v2, ""},
                        {base::operator_id("nobody"), forged.hash, v2, ""}};
    platform.rows[change_key(forged.id)] = {1, to_json(forged)};
    const command settle{key("ana"), "t", settle_command{forged.id}};
    BOOST_TEST(result_of(run(platform, settle)).approvals == 0U);
}

BOOST_AUTO_TEST_CASE(a_change_that_has_ended_stays_so)
{
    fake_platform platform = platform_with_sample();
    result_of(run(platform, propose("ana", "c", v1, with_slots)));
    BOOST_TEST(error_of(run(platform, propose("ana", "c", v1, share_2))) == errc::conflict);
    BOOST_TEST(error_of(run(platform, reject("dipu", "c"))) == errc::permission_denied);
    BOOST_TEST(
        (result_of(run(platform, reject("bela", "c"))).change.state == change_state::rejected));
    BOOST_TEST(
        (result_of(run(platform, reject("bela", "c"))).change.state == change_state::rejected));
    BOOST_TEST(error_of(run(platform, approve("chitra", "c", v1, with_slots))) == errc::conflict);
    result_of(run(platform, propose("ana", "d", v1, share_2)));
    BOOST_TEST(error_of(run(platform, reject("ana", "d"))) == errc::conflict);
    BOOST_TEST((result_of(run(platform, propose("ana", "d", v1, share_2))).accepted_version == v2));
}

// Guards against an accepted change that is reported as failed or accepted twice. Sequence: the
// reply to any one step is lost, with or without effect, or the platform is unavailable; then the
// operator repeats the command.
BOOST_AUTO_TEST_CASE(a_lost_reply_or_an_outage_at_any_step_is_resolved)
{
    for (const fault& injected_fault : {lost, lost_without_effect, unavailable})
    {
        for (int fault_step = 0; fault_step < 12; ++fault_step)
        {
            fake_platform platform = platform_with_sample();
            run(platform, propose("ana", "c", v1, with_slots), fault_step, injected_fault);
            result_of(run(platform, propose("ana", "c", v1, with_slots)));
            run(platform, approve("bela", "c", v1, with_slots), fault_step, injected_fault);
            const auto again = result_of(run(platform, approve("bela", "c", v1, with_slots)));
            BOOST_TEST((again.accepted_version == v2));
            BOOST_TEST(platform.log().size() == 2U);
            BOOST_TEST(platform.log().back().change.str() == "c");
        }
    }
}

// Guards against the error "nothing was written" for a change that was written.
BOOST_AUTO_TEST_CASE(unavailable_is_said_only_when_nothing_was_written)
{
    for (int fault_step = 0; fault_step < 8; ++fault_step)
    {
        fake_platform platform = platform_with_sample();
        const auto rows = platform.rows.size();
        const auto step = run(platform, propose("ana", "c", v1, share_2), fault_step, unavailable);
        if (const auto* failure = std::get_if<base::error>(&step))
        {
            const bool is_written = platform.rows.size() != rows;
            BOOST_TEST(failure->code == (is_written ? errc::unknown_effect : errc::unavailable));
        }
    }
}

// Guards against `unauthenticated` for the operator whose account a change removes, although the
// change is in force. Sequence: the reply to the last write is lost.
BOOST_AUTO_TEST_CASE(a_change_that_removes_its_proposer_is_still_confirmed)
{
    QJsonObject without_ana = sample_json();
    without_ana["operators"] = QJsonObject{{"bela", account("bela", true, true)},
                                           {"chitra", account("chitra", true, true)}};
    without_ana["review"] = QJsonArray();
    fake_platform platform = platform_with_sample();
    QJsonObject free_rules = sample_json();
    free_rules["review"] = QJsonArray{QJsonObject{{"part", "*"}, {"approvals", 0}}};
    result_of(run(platform, propose("ana", "free", v1, free_rules)));
    run(platform, approve("bela", "free", v1, free_rules));
    result_of(run(platform, approve("chitra", "free", v1, free_rules)));
    const int transaction = 6;
    const auto step = run(platform, propose("ana", "leave", v2, without_ana), transaction, lost);
    BOOST_TEST((result_of(step).accepted_version == base::config_version{3}));
}

// Guards against an unreadable document in force. Cause: the object was truncated when written.
BOOST_AUTO_TEST_CASE(a_half_written_object_is_not_accepted_and_proposing_again_heals_it)
{
    fake_platform platform = platform_with_sample();
    result_of(run(platform, propose("ana", "c", v1, with_slots)));
    QByteArray& object = platform.objects[object_name(made(with_slots).hash())];
    object.truncate(object.size() / 2);
    BOOST_TEST(error_of(run(platform, approve("bela", "c", v1, with_slots))) == errc::corrupt);
    BOOST_TEST((platform.head().version == v1));
    const auto healed = result_of(run(platform, propose("ana", "c", v1, with_slots)));
    BOOST_TEST((healed.accepted_version == v2));  // Bela's approval was already stored.
}

// Guards against a fleet that reverts to version 1. Cause: the platform's table was emptied or
// restored from an old copy, and bootstrap operators propose a first configuration again.
BOOST_AUTO_TEST_CASE(a_store_that_has_lost_versions_is_refused)
{
    fake_platform platform;
    acceptance_options known = options();
    known.newest_known = v2;
    acceptance machine(propose("root", "first", v0, sample_json()), known);
    acceptance_step step = machine.begin();
    step = machine.handle(platform.apply(*action_of(step)));
    BOOST_TEST(error_of(step) == errc::corrupt);
}

// Guards against two changes on one base that are both accepted, or neither. Sequence: two routers
// execute two proposals concurrently; every interleaving of their steps is tried.
BOOST_AUTO_TEST_CASE(of_two_that_race_exactly_one_wins)
{
    const auto check =
        [](const fake_platform& platform, const acceptance_step& a, const acceptance_step& b)
    {
        const bool a_won = std::holds_alternative<acceptance_result>(a);
        const bool b_won = std::holds_alternative<acceptance_result>(b);
        BOOST_TEST_REQUIRE(a_won != b_won);
        BOOST_TEST_REQUIRE(error_of(a_won ? b : a) == errc::conflict);
        BOOST_TEST_REQUIRE((platform.head().version == v2));
        BOOST_TEST_REQUIRE(platform.head().change.str() == (a_won ? "a" : "b"));
    };
    race all(check);
    all.run(platform_with_sample(), propose("ana", "a", v1, share_2),
            propose("ana", "b", v1, sample_json(3)));
    BOOST_TEST_MESSAGE(all.interleavings() << " interleavings");
    BOOST_TEST(all.interleavings() > 1000U);
}

// Guards against a conflict reported to an approver for a change that another approver's approval
// has just completed. Sequence: the acceptance happens between two reads.
BOOST_AUTO_TEST_CASE(two_approvers_at_once_are_both_told_that_it_is_accepted)
{
    const auto check =
        [](const fake_platform& platform, const acceptance_step& a, const acceptance_step& b)
    {
        BOOST_TEST_REQUIRE((result_of(a).accepted_version == v2));
        BOOST_TEST_REQUIRE((result_of(b).accepted_version == v2));
        BOOST_TEST_REQUIRE(platform.log().size() == 2U);
    };
    fake_platform platform = platform_with_sample();
    result_of(run(platform, propose("ana", "c", v1, with_slots)));
    race all(check);
    all.run(platform, approve("bela", "c", v1, with_slots), approve("chitra", "c", v1, with_slots));
    BOOST_TEST_MESSAGE(all.interleavings() << " interleavings");
    BOOST_TEST(all.interleavings() > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
