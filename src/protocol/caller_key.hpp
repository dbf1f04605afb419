#pragma once

#include <string>

namespace auburnchute {

/// \brief Makes a caller's key of 256 random bits from the cryptographic generator.
/// \returns `ak-` and 64 hexadecimal digits; the prefix lets secret scanners find keys in files.
/// \throws error with step `keys` if the generator has no entropy. Thread safety: may be called from any
/// thread.
[[nodiscard]] std::string make_caller_key();

} // namespace auburnchute
