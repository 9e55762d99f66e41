/// A table store whose calls a test expects one by one.
#pragma once

#include <catch2/trompeloeil.hpp>

#include "birchlever/storage/table_store_interface.h"

namespace birchlever {

class store_mock final : public table_store_interface {
 public:
  MAKE_MOCK1(commit, auto(const table_transaction&)->result<std::int64_t>, override);
  MAKE_MOCK1(read, auto(const std::string&)->result<std::optional<table_row>>, override);
  MAKE_MOCK3(scan, auto(const std::string&, const std::string&, int)->result<std::vector<table_row>>,
             override);
  MAKE_MOCK2(put_object, auto(const std::string&, const std::string&)->status, override);
  MAKE_MOCK1(get_object, auto(const std::string&)->result<std::optional<std::string>>, override);
  MAKE_MOCK1(delete_object, auto(const std::string&)->status, override);
};

}  // namespace birchlever
