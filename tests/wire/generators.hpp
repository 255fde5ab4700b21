#pragma once

#include "libcaraway/wire/codec.hpp"

#include <rapidcheck.h>

#include <limits>
#include <string>
#include <vector>

// RapidCheck generators for all types that the wire format encodes.
namespace rc
{

inline Gen<std::string> arbitrary_name()
{
    return gen::resize(20, gen::arbitrary<std::string>());
}

template <class Tag>
struct Arbitrary<caraway::base::strong_id<Tag>>
{
    static Gen<caraway::base::strong_id<Tag>> arbitrary()
    {
        return gen::construct<caraway::base::strong_id<Tag>>(arbitrary_name());
    }
};

template <class Enum>
Gen<Enum> arbitrary_number()
{
    using number = std::underlying_type_t<Enum>;
    return gen::map(gen::inRange<number>(0, std::numeric_limits<number>::max()),
                    [](number value) { return static_cast<Enum>(value); });
}

#define CARAWAY_NUMBER(Type)                                                                       \
    template <>                                                                                    \
    struct Arbitrary<Type>                                                                         \
    {                                                                                              \
        static Gen<Type> arbitrary()                                                               \
        {                                                                                          \
            return arbitrary_number<Type>();                                                       \
        }                                                                                          \
    }

CARAWAY_NUMBER(caraway::base::incarnation);
CARAWAY_NUMBER(caraway::base::grant_number);
CARAWAY_NUMBER(caraway::base::config_version);

#undef CARAWAY_NUMBER

template <>
struct Arbitrary<caraway::base::cost>
{
    static Gen<caraway::base::cost> arbitrary()
    {
        return gen::construct<caraway::base::cost>(
            gen::oneOf(gen::arbitrary<double>(),
                       gen::map(gen::arbitrary<std::uint32_t>(),
                                [](std::uint32_t whole) { return double{1.0} * whole; })));
    }
};

template <>
struct Arbitrary<caraway::base::virtual_time>
{
    static Gen<caraway::base::virtual_time> arbitrary()
    {
        return gen::construct<caraway::base::virtual_time>(gen::arbitrary<double>());
    }
};

#define CARAWAY_STRUCT(Type, ...)                                                                  \
    template <>                                                                                    \
    struct Arbitrary<Type>                                                                         \
    {                                                                                              \
        static Gen<Type> arbitrary()                                                               \
        {                                                                                          \
            using value = Type;                                                                    \
            return gen::build<value>(__VA_ARGS__);                                                 \
        }                                                                                          \
    }
#define SET(Field) gen::set(&value::Field)

CARAWAY_STRUCT(caraway::base::node_ref, SET(id), SET(life));
CARAWAY_STRUCT(caraway::membership::endpoint, gen::set(&value::host, arbitrary_name()), SET(port));
CARAWAY_STRUCT(caraway::membership::load_digest, SET(waiting), SET(free_slots), SET(connections));
CARAWAY_STRUCT(caraway::membership::load_sample, SET(node), SET(age_ms), SET(load),
               SET(configuration));
CARAWAY_STRUCT(caraway::membership::expiring_entry, SET(fingerprint), SET(count), SET(ttl_ms));
CARAWAY_STRUCT(caraway::membership::probe, SET(sequence));
CARAWAY_STRUCT(caraway::membership::probe_ack, SET(sequence));
CARAWAY_STRUCT(caraway::membership::probe_nack, SET(sequence));
CARAWAY_STRUCT(caraway::membership::probe_request, SET(sequence), SET(target), SET(address));
CARAWAY_STRUCT(caraway::membership::sync_request, SET(after), SET(view));
CARAWAY_STRUCT(caraway::membership::sync_reply, SET(members), SET(next_after));
CARAWAY_STRUCT(caraway::membership::gossip, SET(load), SET(configuration), SET(newest), SET(view),
               SET(updates), SET(samples), SET(entries));
CARAWAY_STRUCT(caraway::scheduling::demand, SET(service), SET(workspace), SET(waiting),
               SET(head_cost), SET(head_age_ms), SET(affinity));
CARAWAY_STRUCT(caraway::scheduling::holding, SET(upstream), SET(held));
CARAWAY_STRUCT(caraway::scheduling::router_report, SET(sequence), SET(owner_incarnation), SET(view),
               SET(last_grant), SET(declined), SET(demands), SET(holdings), SET(ejected),
               SET(demands_unchanged));
CARAWAY_STRUCT(caraway::scheduling::grant, SET(number), SET(upstream), SET(service),
               SET(workspace));
CARAWAY_STRUCT(caraway::scheduling::free_slots, SET(service), SET(free));
CARAWAY_STRUCT(caraway::scheduling::grant_list, SET(router_incarnation), SET(grants), SET(free));
CARAWAY_STRUCT(caraway::scheduling::account, SET(service), SET(workspace));
CARAWAY_STRUCT(caraway::scheduling::service_floor, SET(service), SET(floor));
CARAWAY_STRUCT(caraway::scheduling::service_total, SET(service), SET(workspace), SET(epoch),
               SET(lift), SET(total));
CARAWAY_STRUCT(caraway::scheduling::service_sum, SET(service), SET(workspace), SET(epoch),
               SET(lift), SET(sum), SET(included));
CARAWAY_STRUCT(caraway::scheduling::totals_report, SET(sequence), SET(totals), SET(wanted),
               SET(floors));
CARAWAY_STRUCT(caraway::scheduling::totals_reply, SET(sequence), SET(sums), SET(floors),
               SET(interval_ms));
CARAWAY_STRUCT(caraway::wire::envelope,
               gen::set(&value::from,
                        gen::suchThat(gen::arbitrary<caraway::base::node_ref>(),
                                      [](const auto& from) { return !from.id.empty(); })),
               SET(to), SET(messages));

/// On the wire an empty host means the host of the peer address, so the generated hosts are not
/// empty.
template <>
struct Arbitrary<caraway::membership::member_details>
{
    static Gen<caraway::membership::member_details> arbitrary()
    {
        using value = caraway::membership::member_details;
        const auto with_host =
            gen::suchThat(gen::arbitrary<caraway::membership::endpoint>(),
                          [](const auto& address) { return !address.host.empty(); });
        return gen::build<value>(gen::set(&value::peer, with_host),
                                 gen::set(&value::caller, with_host),
                                 gen::set(&value::admin, with_host), SET(zone), SET(region));
    }
};

template <>
struct Arbitrary<caraway::membership::member_update>
{
    static Gen<caraway::membership::member_update> arbitrary()
    {
        using namespace caraway::membership;
        using value = member_update;
        const auto with_id = gen::suchThat(gen::arbitrary<caraway::base::node_ref>(),
                                           [](const auto& node) { return !node.id.empty(); });
        return gen::build<value>(
            gen::set(&value::node, with_id), SET(refutations),
            gen::set(&value::announced,
                     gen::element(announced_state::joining, announced_state::alive,
                                  announced_state::leaving, announced_state::left)),
            gen::set(&value::judged, gen::element(verdict::none, verdict::suspect, verdict::dead)),
            SET(accuser),
            gen::set(&value::details, gen::map(gen::maybe(gen::arbitrary<member_details>()),
                                               [](const Maybe<member_details>& details) {
                                                   return details ? std::optional(*details)
                                                                  : std::nullopt;
                                               })));
    }
};

template <>
struct Arbitrary<caraway::membership::configuration_ref>
{
    static Gen<caraway::membership::configuration_ref> arbitrary()
    {
        return gen::map(gen::arbitrary<std::pair<std::uint32_t, caraway::base::node_id>>(),
                        [](const auto& parts)
                        {
                            const bool is_none = parts.first == 0;
                            return caraway::membership::configuration_ref{
                                .version = caraway::base::config_version{parts.first},
                                .hash = is_none ? "" : std::string(64, 'a' + parts.first % 6),
                                .holder = parts.second};
                        });
    }
};

template <>
struct Arbitrary<caraway::membership::message>
{
    static Gen<caraway::membership::message> arbitrary()
    {
        using namespace caraway::membership;
        return gen::oneOf(gen::construct<message>(gen::arbitrary<probe>()),
                          gen::construct<message>(gen::arbitrary<probe_ack>()),
                          gen::construct<message>(gen::arbitrary<probe_nack>()),
                          gen::construct<message>(gen::arbitrary<probe_request>()),
                          gen::construct<message>(gen::arbitrary<sync_request>()),
                          gen::construct<message>(gen::arbitrary<sync_reply>()),
                          gen::construct<message>(gen::arbitrary<gossip>()));
    }
};

template <>
struct Arbitrary<caraway::wire::message>
{
    static Gen<caraway::wire::message> arbitrary()
    {
        using namespace caraway;
        using wire::message;
        return gen::oneOf(gen::construct<message>(gen::arbitrary<membership::message>()),
                          gen::construct<message>(gen::arbitrary<scheduling::router_report>()),
                          gen::construct<message>(gen::arbitrary<scheduling::grant_list>()),
                          gen::construct<message>(gen::arbitrary<scheduling::totals_report>()),
                          gen::construct<message>(gen::arbitrary<scheduling::totals_reply>()));
    }
};

#undef SET
#undef CARAWAY_STRUCT

}  // namespace rc
