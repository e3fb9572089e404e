// Result type of all layers. Each layer declares an error type and converts the
// errors of the layer below.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace chervilpass {

namespace outcome = boost::outcome_v2;

/// Either a value of type T or an error of type E. Accessing the one that is
/// not present terminates the process: check `has_value()` first or use
/// BOOST_OUTCOME_TRY.
template <class T, class E>
using Result = outcome::basic_result<T, E, outcome::policy::terminate>;

using outcome::failure;
using outcome::success;

}  // namespace chervilpass
