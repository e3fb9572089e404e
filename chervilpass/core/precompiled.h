// Precompiled header: large third-party headers that most sources include.
#pragma once

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/all.hpp>
#include <boost/json.hpp>
#include <boost/outcome.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <fmt/format.h>
