#include "libcaraway/wire/identity_codec.hpp"

namespace caraway::wire
{

void write_fields(QCborStreamWriter& out, const base::node_ref& node)
{
    write(out, node.id);
    write(out, static_cast<std::uint64_t>(node.life));
}

void read_fields(cbor_reader& in, base::node_ref& node)
{
    read(in, node.id);
    read_number(in, node.life);
}

}  // namespace caraway::wire
