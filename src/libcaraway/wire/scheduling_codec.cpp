#include "libcaraway/wire/scheduling_codec.hpp"

#include "libcaraway/wire/identity_codec.hpp"

namespace caraway::wire
{

using namespace scheduling;

namespace
{

void write_cost(QCborStreamWriter& out, base::cost value)
{
    write(out, value.value());
}

void read_cost(cbor_reader& in, base::cost& value)
{
    value = base::cost(in.number());
}

void write_demand(QCborStreamWriter& out, const demand& value)
{
    out.startArray(6);
    write(out, value.service);
    write(out, value.workspace);
    write(out, std::uint64_t{value.waiting});
    write_cost(out, value.head_cost);
    write(out, std::uint64_t{value.head_age_ms});
    write(out, value.affinity);
    out.endArray();
}

void read_demand(cbor_reader& in, demand& value)
{
    in.begin_array(max_fields);
    read(in, value.service);
    read(in, value.workspace);
    read_number(in, value.waiting);
    read_cost(in, value.head_cost);
    read_number(in, value.head_age_ms);
    read_number(in, value.affinity);
    in.end_array();
}

void write_holding(QCborStreamWriter& out, const holding& value)
{
    out.startArray(2);
    write(out, value.upstream);
    write(out, std::uint64_t{value.held});
    out.endArray();
}

void read_holding(cbor_reader& in, holding& value)
{
    in.begin_array(max_fields);
    read(in, value.upstream);
    read_number(in, value.held);
    in.end_array();
}

void write_grant(QCborStreamWriter& out, const grant& value)
{
    out.startArray(4);
    write(out, static_cast<std::uint64_t>(value.number));
    write(out, value.upstream);
    write(out, value.service);
    write(out, value.workspace);
    out.endArray();
}

void read_grant(cbor_reader& in, grant& value)
{
    in.begin_array(max_fields);
    read_number(in, value.number);
    read(in, value.upstream);
    read(in, value.service);
    read(in, value.workspace);
    in.end_array();
}

void write_upstream(QCborStreamWriter& out, const base::upstream_id& value)
{
    write(out, value);
}

void read_upstream(cbor_reader& in, base::upstream_id& value)
{
    read(in, value);
}

void write_grant_number(QCborStreamWriter& out, const base::grant_number& value)
{
    write(out, static_cast<std::uint64_t>(value));
}

void read_grant_number(cbor_reader& in, base::grant_number& value)
{
    read_number(in, value);
}

void write_free(QCborStreamWriter& out, const free_slots& value)
{
    out.startArray(2);
    write(out, value.service);
    write(out, std::uint64_t{value.free});
    out.endArray();
}

void read_free(cbor_reader& in, free_slots& value)
{
    in.begin_array(max_fields);
    read(in, value.service);
    read_number(in, value.free);
    in.end_array();
}

void write_total(QCborStreamWriter& out, const service_total& value)
{
    out.startArray(5);
    write(out, value.service);
    write(out, value.workspace);
    write(out, std::uint64_t{value.epoch});
    write_cost(out, value.lift);
    write_cost(out, value.total);
    out.endArray();
}

void read_total(cbor_reader& in, service_total& value)
{
    in.begin_array(max_fields);
    read(in, value.service);
    read(in, value.workspace);
    read_number(in, value.epoch);
    read_cost(in, value.lift);
    read_cost(in, value.total);
    in.end_array();
}

void write_sum(QCborStreamWriter& out, const service_sum& value)
{
    out.startArray(6);
    write(out, value.service);
    write(out, value.workspace);
    write(out, std::uint64_t{value.epoch});
    write_cost(out, value.lift);
    write_cost(out, value.sum);
    write_cost(out, value.included);
    out.endArray();
}

void read_sum(cbor_reader& in, service_sum& value)
{
    in.begin_array(max_fields);
    read(in, value.service);
    read(in, value.workspace);
    read_number(in, value.epoch);
    read_cost(in, value.lift);
    read_cost(in, value.sum);
    read_cost(in, value.included);
    in.end_array();
}

void write_account(QCborStreamWriter& out, const account& value)
{
    out.startArray(2);
    write(out, value.service);
    write(out, value.workspace);
    out.endArray();
}

void read_account(cbor_reader& in, account& value)
{
    in.begin_array(max_fields);
    read(in, value.service);
    read(in, value.workspace);
    in.end_array();
}

void write_floor(QCborStreamWriter& out, const service_floor& value)
{
    out.startArray(2);
    write(out, value.service);
    write(out, value.floor.value());
    out.endArray();
}

void read_floor(cbor_reader& in, service_floor& value)
{
    in.begin_array(max_fields);
    read(in, value.service);
    value.floor = base::virtual_time(in.number());
    in.end_array();
}

}  // namespace

void write_fields(QCborStreamWriter& out, const router_report& value)
{
    write(out, value.sequence);
    write(out, static_cast<std::uint64_t>(value.owner_incarnation));
    write(out, value.view);
    write(out, static_cast<std::uint64_t>(value.last_grant));
    write_list(out, value.declined, write_grant_number);
    write_list(out, value.demands, write_demand);
    write_list(out, value.holdings, write_holding);
    write_list(out, value.ejected, write_upstream);
    write(out, std::uint64_t{value.demands_unchanged});
}

void read_fields(cbor_reader& in, router_report& value)
{
    read_number(in, value.sequence);
    read_number(in, value.owner_incarnation);
    read_number(in, value.view);
    read_number(in, value.last_grant);
    in.read_list(value.declined, max_scheduling_elements, read_grant_number);
    in.read_list(value.demands, max_scheduling_elements, read_demand);
    in.read_list(value.holdings, max_scheduling_elements, read_holding);
    in.read_list(value.ejected, max_scheduling_elements, read_upstream);
    std::uint64_t unchanged = 0;
    read_number(in, unchanged);
    value.demands_unchanged = unchanged != 0;
}

void write_fields(QCborStreamWriter& out, const grant_list& value)
{
    write(out, static_cast<std::uint64_t>(value.router_incarnation));
    write_list(out, value.grants, write_grant);
    write_list(out, value.free, write_free);
}

void read_fields(cbor_reader& in, grant_list& value)
{
    read_number(in, value.router_incarnation);
    in.read_list(value.grants, max_scheduling_elements, read_grant);
    in.read_list(value.free, max_scheduling_elements, read_free);
}

void write_fields(QCborStreamWriter& out, const totals_report& value)
{
    write(out, value.sequence);
    write_list(out, value.totals, write_total);
    write_list(out, value.wanted, write_account);
    write_list(out, value.floors, write_floor);
}

void read_fields(cbor_reader& in, totals_report& value)
{
    read_number(in, value.sequence);
    in.read_list(value.totals, max_scheduling_elements, read_total);
    in.read_list(value.wanted, max_scheduling_elements, read_account);
    in.read_list(value.floors, max_scheduling_elements, read_floor);
}

void write_fields(QCborStreamWriter& out, const totals_reply& value)
{
    write(out, value.sequence);
    write_list(out, value.sums, write_sum);
    write_list(out, value.floors, write_floor);
    write(out, std::uint64_t{value.interval_ms});
}

void read_fields(cbor_reader& in, totals_reply& value)
{
    read_number(in, value.sequence);
    in.read_list(value.sums, max_scheduling_elements, read_sum);
    in.read_list(value.floors, max_scheduling_elements, read_floor);
    read_number(in, value.interval_ms);
}

}  // namespace caraway::wire
