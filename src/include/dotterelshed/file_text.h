#ifndef DOTTERELSHED_FILE_TEXT_H_
#define DOTTERELSHED_FILE_TEXT_H_

#include <string>

#include "dotterelshed/error.h"

namespace dotterelshed {

/// Reads a whole file. Errors: kNotFound, with the file as place.
auto ReadFileText(const std::string& file) -> Result<std::string>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_FILE_TEXT_H_
