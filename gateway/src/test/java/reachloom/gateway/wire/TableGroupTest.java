package reachloom.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The table group of various statements. */
class TableGroupTest {
  @Test
  void findsGroupInSchemaName() {
    Map<String, Integer> expectedGroups = new LinkedHashMap<>();
    expectedGroups.put("select * from sales_17.orders", 17);
    expectedGroups.put("SELECT o.id FROM Sales_17.Orders o", 17);
    expectedGroups.put("insert into sales_4.orders values (1, 'a')", 4);
    expectedGroups.put("update sales_5.orders set a = 1 where b = 'sales_6.x'", 5);
    expectedGroups.put("delete from sales_0.orders", 0);
    expectedGroups.put("select 'from sales_3.x', a from sales_17.orders", 17);
    expectedGroups.put("select 'it''s from sales_3.x' from sales_17.orders", 17);
    expectedGroups.put("select a -- from sales_3.x\n from sales_17.orders", 17);
    expectedGroups.put("select a /* from sales_3.x */ from sales_17.orders", 17);
    expectedGroups.put("/* sales_1.a */ -- sales_2.b\nselect a from \"sales_17\".\"orders\"", 17);
    expectedGroups.put("select \"from sales_3.x\" from sales_17.orders", 17);
    expectedGroups.put("select \"a\"\"b\" from `sales_17`.`orders`", 17);
    expectedGroups.put("insert into staging.load select * from sales_17.orders", 17);
    expectedGroups.put("insert into sales_17.orders select * from staging.load", 17);
    expectedGroups.put("select * from staging.a s, sales_17.orders o", 17);
    expectedGroups.put("select o_9.id from sales_17.orders o_9", 17);
    expectedGroups.put("select extract(year from o_9.day) from sales_17.orders o_9", 17);
    expectedGroups.put("select (select max(a) from sales_17.x) from staging.y", 17);
    expectedGroups.put("with t as (select * from sales_17.orders) select * from t", 17);
    expectedGroups.put("select * from main.sales_17.orders", 17);
    expectedGroups.put("select 1.5, x from sales_17.orders", 17);
    expectedGroups.put("select * from staging.x join build_data_12.y on true", 12);
    expectedGroups.put("select 1", TableGroup.NONE);
    expectedGroups.put("", TableGroup.NONE);
    expectedGroups.put("select * from orders", TableGroup.NONE);
    expectedGroups.put("select * from staging.orders", TableGroup.NONE);
    expectedGroups.put("select * from sales_.orders", TableGroup.NONE);
    expectedGroups.put("select * from sales_1x.orders", TableGroup.NONE);
    expectedGroups.put("select * from sales_99999999999.orders", TableGroup.NONE);
    expectedGroups.put("select 'unclosed from sales_17.orders", TableGroup.NONE);
    expectedGroups.put("select a /* unclosed from sales_17.orders", TableGroup.NONE);
    expectedGroups.put("select \"unclosed from sales_17.orders", TableGroup.NONE);
    expectedGroups.forEach(
        (statement, group) ->
            assertEquals(
                group,
                TableGroup.of(Bytes.of(statement.getBytes(StandardCharsets.UTF_8))),
                statement));
  }

  @Test
  void terminatesOnDeepNesting() {
    String deep = "select " + "(".repeat(20_000) + "1 from sales_17.orders";
    TableGroup.of(Bytes.of(deep.getBytes(StandardCharsets.UTF_8)));
  }
}
