#pragma once

// The JSON-RPC library's headers, made fit for C++20. They declare functions with `throw(Type)`,
// which C++17 removed from the language, so including them as they are fails to compile. While they
// are read, `throw(...)` stands for what it meant: `throw()` for noexcept, any other for nothing.
// Whatever else they include comes first, so that no other header sees the replacement.
#include <jsoncpp/json/json.h>

#include <cstdarg>
#include <exception>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#ifdef __clang__
#pragma clang diagnostic push
#pragma clang diagnostic ignored "-Wkeyword-macro"
#endif
#define throw(...) noexcept(sizeof(#__VA_ARGS__) == 1)

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#undef throw
#ifdef __clang__
#pragma clang diagnostic pop
#endif
