#pragma once

#include "libcaraway/scheduling/messages.hpp"
#include "libcaraway/wire/cbor_reader.hpp"

#include <QCborStreamWriter>

namespace caraway::wire
{

/// Writes the fields of one message as elements of the array that is already open in `out`.
void write_fields(QCborStreamWriter& out, const scheduling::router_report& value);
void write_fields(QCborStreamWriter& out, const scheduling::grant_list& value);
void write_fields(QCborStreamWriter& out, const scheduling::totals_report& value);
void write_fields(QCborStreamWriter& out, const scheduling::totals_reply& value);

void read_fields(cbor_reader& in, scheduling::router_report& value);
void read_fields(cbor_reader& in, scheduling::grant_list& value);
void read_fields(cbor_reader& in, scheduling::totals_report& value);
void read_fields(cbor_reader& in, scheduling::totals_reply& value);

}  // namespace caraway::wire
